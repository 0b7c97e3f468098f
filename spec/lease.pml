/*
 * The lease on cold work: entry hosts, one lease object in the store, and the
 * requests that they send to one cold endpoint, which bears one at a time.
 *
 * Time is a tick that may pass between any two steps, so a host that takes no
 * step is a paused one. Every duration counts down with the ticks.
 *
 * Transitions and the code that makes them: see docs/SPECIFICATION.md.
 */
#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef WRITES
#define WRITES 2          /* writes of each host to the store */
#endif
#ifndef CRASHES
#define CRASHES 1         /* restarts of all hosts together */
#endif
#ifndef TTL
#define TTL 3             /* ticks of a term */
#endif
#define MARGIN 1          /* ticks at its end that the holder leaves unused */
#define DEADLINE 1        /* longest ticks of cold work at the endpoint */
#define GAP 1             /* ticks from the last check to the bytes' arrival */
#define CREDITS 2         /* cold requests under way at once that are told apart */
#define NONE 255

#ifdef SEED_NO_DEADLINE_WAIT
#define QUARANTINE TTL
#else
#define QUARANTINE (TTL + DEADLINE)
#endif

#define USABLE(i) (write[i].left > MARGIN -> write[i].left - MARGIN : 0)
#ifdef SEED_RELEASE_WITH_CREDITS_OUT
#define REST(i) 0
#else
#define REST(i) (USABLE(i) + GAP)
#endif

#ifdef SEED_NO_CHECK_BEFORE_SENDING
#define MAY_SEND(c) true
#else
#define MAY_SEND(c) (credit[c].left > 0)
#endif

/* A write to the store; its place in the array is its nonce. */
mtype = { unsent, underway, over };
typedef Write {
	mtype state = unsent;
	byte ifVersion;
	byte epoch;
	byte left;            /* ticks left of the term, from the sending */
	byte rest;            /* of a release: ticks until work under it is over, at the sending */
	bool released
}
Write write[HOSTS * WRITES];

/* The lease object and what a lagging reading may show of it. */
byte version, nonce = NONE, epoch;
byte oldVersion, oldNonce = NONE;

typedef Host {
	byte version;         /* what the store last showed */
	byte nonce = NONE;
	byte epoch;
	bool released;
	bool seen;
	bool own;             /* the version was written by this host */
	bool settled;         /* no error since the last answer */
	byte quarantine;      /* ticks until another's lease is over */
	byte calling = NONE;  /* the write that waits for its reply */
	byte written;         /* writes so far */
	byte forgotten;       /* writes before the last restart */
	byte lowest;          /* readings below it are outdated */
	bool lent             /* a cold request is under way, as this host knows */
}
Host host[HOSTS];

/* A cold request from the grant of its credit to its end. */
mtype = { free, granted, checked, running };
typedef Credit {
	mtype state = free;
	byte left;            /* ticks until it may not be sent, must arrive, or is over */
	byte owner = NONE
}
Credit credit[CREDITS];
byte running_now;
byte crashes;

#define HOLDS(h) (host[h].own && host[h].settled && !host[h].released && \
	write[host[h].nonce].left > MARGIN)

inline adopt(h, v, n) {
	host[h].seen = true;
	host[h].version = v;
	host[h].nonce = n;
	host[h].lowest = v;
	if
	:: n == NONE -> host[h].epoch = 0; host[h].own = false; host[h].released = false; host[h].quarantine = 0
	:: else ->
		host[h].epoch = write[n].epoch;
		host[h].released = write[n].released;
#ifdef SEED_KNOWN_BY_NAME
		host[h].own = (n / WRITES == h && !write[n].released);
		if :: host[h].own -> write[n].left = TTL :: else fi;
#else
		host[h].own = (n / WRITES == h && n % WRITES >= host[h].forgotten && !write[n].released);
#endif
		if
		:: write[n].released -> host[h].quarantine = write[n].rest
		:: else -> host[h].quarantine = QUARANTINE
		fi
	fi
}

inline put(h) {
	n = h * WRITES + host[h].written;
	host[h].written++;
	host[h].calling = n;
	write[n].state = underway;
	write[n].ifVersion = host[h].version;
	write[n].epoch = host[h].epoch;
	write[n].left = TTL
}

/* Writes on an older version can only be refused from now on. */
#ifndef SEED_UNCONDITIONAL
#define SUPERSEDE for (i : 0 .. HOSTS * WRITES - 1) { \
		if :: write[i].state == underway && write[i].ifVersion != version -> write[i].state = over :: else fi }; i = 0
#else
#define SUPERSEDE skip
#endif

/* The store takes a write, at any moment after its sending, or refuses it. */
inline reach(n) {
	write[n].state = over;
	if
#ifndef SEED_UNCONDITIONAL
	:: write[n].ifVersion != version -> skip
	:: else ->
#else
	:: true ->
#endif
		assert(write[n].epoch >= epoch);
		assert(nonce == NONE || write[nonce].released || write[n].released || nonce / WRITES == n / WRITES || write[n].epoch > epoch);
		oldVersion = version;
		oldNonce = nonce;
		version++;
		nonce = n;
		epoch = write[n].epoch;
		SUPERSEDE
	fi
}

proctype Entry(byte h) {
	byte n, i;
end:
	do
	/* read: the newest lease, or the one before it; a failed call only delays this */
	:: d_step { host[h].calling == NONE && (!host[h].settled || version > host[h].version) ->
		if
		:: version > host[h].version || !host[h].seen -> adopt(h, version, nonce)
		:: else
		fi;
		host[h].settled = true }
	:: d_step { host[h].calling == NONE && oldVersion < version && oldVersion >= host[h].lowest &&
			(!host[h].settled || oldVersion > host[h].version) ->
		if
		:: oldVersion > host[h].version || !host[h].seen -> adopt(h, oldVersion, oldNonce)
		:: else
		fi;
		host[h].settled = true }
	/* take */
	:: d_step { host[h].calling == NONE && host[h].settled && !host[h].own && host[h].quarantine == 0 && host[h].written < WRITES ->
		put(h); write[n].epoch++; n = 0 }
	/* renew, or take the next epoch of a term that lapsed untouched */
	:: d_step { host[h].calling == NONE && host[h].settled && host[h].own && host[h].written < WRITES ->
		put(h);
		if :: write[host[h].nonce].left <= MARGIN -> write[n].epoch++ :: else fi; n = 0 }
	/* release: the holder is not found again by its nonce */
	:: d_step { host[h].calling == NONE && host[h].own && host[h].written < WRITES ->
		host[h].own = false;
		host[h].settled = false;
		host[h].forgotten = host[h].written + 1;
		put(h);
		write[n].released = true; write[n].left = 0; write[n].rest = QUARANTINE - TTL + REST(host[h].nonce); n = 0 }
	/* written: the reply arrives */
	:: d_step { host[h].calling != NONE && write[host[h].calling].state == over && nonce == host[h].calling ->
		n = host[h].calling;
		host[h].calling = NONE;
		adopt(h, version, n);
#ifdef SEED_TERM_FROM_REPLY
		write[n].left = TTL;
#endif
		host[h].settled = true; n = 0 }
	/* refused: another write came first */
	:: d_step { host[h].calling != NONE && write[host[h].calling].state == over && nonce != host[h].calling && oldNonce != host[h].calling ->
		host[h].lowest = write[host[h].calling].ifVersion + 1;
		host[h].calling = NONE; host[h].settled = false }
	/* unknown: the reply is lost, the write may reach the store later */
	:: d_step { host[h].calling != NONE -> host[h].calling = NONE; host[h].settled = false }
	/* grant a cold credit */
	:: d_step { HOLDS(h) && !host[h].lent && credit[0].state == free ->
		credit[0].state = granted; credit[0].owner = h; credit[0].left = write[host[h].nonce].left - MARGIN;
		host[h].lent = true }
	:: d_step { HOLDS(h) && !host[h].lent && credit[0].state != free && credit[1].state == free ->
		credit[1].state = granted; credit[1].owner = h; credit[1].left = write[host[h].nonce].left - MARGIN;
		host[h].lent = true }
	/* restart: everything is forgotten but what the store holds */
	:: d_step { crashes < CRASHES ->
		crashes++;
		host[h].version = 0; host[h].nonce = NONE; host[h].epoch = 0; host[h].released = false;
		host[h].seen = false; host[h].own = false; host[h].settled = false; host[h].quarantine = 0;
		host[h].calling = NONE; host[h].lowest = 0; host[h].lent = false;
		host[h].forgotten = host[h].written;
		for (i : 0 .. CREDITS - 1) {
			if :: credit[i].owner == h -> credit[i].owner = NONE :: else fi
		}
		i = 0 }
#ifdef SEED_REGAINED_UNDER_ONE_LEASE
	/* the group is lost and regained while the lease is kept */
	:: d_step { host[h].lent ->
		host[h].lent = false;
		for (i : 0 .. CREDITS - 1) {
			if :: credit[i].owner == h -> credit[i].owner = NONE :: else fi
		}
		i = 0 }
#endif
	od
}

/* Carries one cold request from its credit to its end. */
proctype Borrower(byte c) {
end:
	do
	/* check, right before sending */
	:: d_step { credit[c].state == granted && MAY_SEND(c) -> credit[c].state = checked; credit[c].left = GAP }
	/* give back unused */
	:: d_step { credit[c].state == granted ->
		if :: credit[c].owner != NONE -> host[credit[c].owner].lent = false :: else fi;
		credit[c].state = free; credit[c].owner = NONE; credit[c].left = 0 }
	/* arrive */
	:: d_step { credit[c].state == checked ->
		credit[c].state = running; credit[c].left = DEADLINE;
		running_now++;
		assert(running_now <= 1) }
	/* finish */
	:: d_step { credit[c].state == running ->
		running_now--;
		if :: credit[c].owner != NONE -> host[credit[c].owner].lent = false :: else fi;
		credit[c].state = free; credit[c].owner = NONE; credit[c].left = 0 }
	od
}

proctype Store(byte n) {
	byte i;
end:
	do
	:: d_step { write[n].state == underway -> reach(n) }
	od
}

/* A write that nothing refers to any more; clearing it joins equal states. */
#define USED_BY(h, i) (host[h].nonce == i || host[h].calling == i)
#if HOSTS > 2
#define USED(i) (USED_BY(0, i) || USED_BY(1, i) || USED_BY(2, i))
#else
#define USED(i) (USED_BY(0, i) || USED_BY(1, i))
#endif
#define DEAD(i) (write[i].state == over && i != nonce && i != oldNonce && !USED(i))

#define IN_TIME(c) (credit[c].left > 0 || (credit[c].state != running && credit[c].state != checked))

proctype Clock() {
	byte i;
end:
	do
#ifdef SEED_PAUSE_AFTER_LAST_CHECK
	:: d_step { (credit[0].state != running || credit[0].left > 0) && (credit[1].state != running || credit[1].left > 0) ->
#else
	:: d_step { IN_TIME(0) && IN_TIME(1) ->
#endif
		for (i : 0 .. HOSTS * WRITES - 1) {
			if :: write[i].left > 0 -> write[i].left-- :: else fi
		}
		for (i : 0 .. HOSTS * WRITES - 1) {
			if :: DEAD(i) -> write[i].left = 0; write[i].ifVersion = 0; write[i].epoch = 0; write[i].rest = 0; write[i].released = false :: else fi
		}
		for (i : 0 .. HOSTS - 1) {
			if :: host[i].quarantine > 0 -> host[i].quarantine-- :: else fi
		}
		for (i : 0 .. CREDITS - 1) {
			if :: credit[i].left > 0 -> credit[i].left-- :: else fi
		}
		i = 0 }
	od
}

init {
	byte i;
	atomic {
		for (i : 0 .. HOSTS - 1) { run Entry(i) }
		for (i : 0 .. CREDITS - 1) { run Borrower(i) }
		for (i : 0 .. HOSTS * WRITES - 1) { run Store(i) }
		run Clock();
		i = 0
	}
}
