/*
 * Model of the lease on cold work: entry hosts, one lease object in the store,
 * and the requests that the hosts send to one cold endpoint, which can handle
 * one at a time.
 *
 * Time advances in ticks. A tick may pass between any two steps, so a host that
 * makes no step models a paused host. Each tick decrements every duration.
 *
 * docs/SPECIFICATION.md maps the transitions to the code that implements them.
 */
#ifndef HOSTS
#define HOSTS 2
#endif
#ifndef WRITES
#define WRITES 2          /* maximum writes of each host to the store */
#endif
#ifndef CRASHES
#define CRASHES 1         /* maximum restarts, total for all hosts */
#endif
#ifndef TTL
#define TTL 3             /* length of a lease term in ticks */
#endif
#define MARGIN 1          /* ticks at the end of a term that the lease holder does not use */
#define DEADLINE 1        /* maximum ticks that a cold request runs at the endpoint */
#define GAP 1             /* maximum ticks from the check before sending to the arrival of the request */
#define CREDITS 2         /* concurrent cold requests that the model distinguishes */
#define NONE 255

#ifdef SEED_NO_DEADLINE_WAIT
#define QUARANTINE TTL
#else
#define QUARANTINE (TTL + DEADLINE)
#endif

#define USABLE(i) (write[i].left > MARGIN -> write[i].left - MARGIN : 0)
#ifdef SEED_RELEASE_WITH_CREDITS_OUT
#define WORK_LEFT(i) 0
#else
#define WORK_LEFT(i) (USABLE(i) + GAP)
#endif

#ifdef SEED_NO_CHECK_BEFORE_SENDING
#define MAY_SEND(c) true
#else
#define MAY_SEND(c) (credit[c].left > 0)
#endif

/* A write to the store. Its index in the array is its nonce. */
mtype = { unsent, underway, over };
typedef Write {
	mtype state = unsent;
	byte ifVersion;
	byte epoch;
	byte left;            /* ticks left of the term, which starts when the write is sent */
	byte work_left;       /* of a release: ticks from its sending until all work under the lease has ended */
	bool released
}
Write write[HOSTS * WRITES];

/* The lease object, and its previous version, which a delayed read may still return. */
byte version, nonce = NONE, epoch;
byte oldVersion, oldNonce = NONE;

typedef Host {
	byte version;         /* of the lease object that the host last read */
	byte nonce = NONE;
	byte epoch;
	bool released;
	bool seen;
	bool own;             /* this host wrote this version and recognizes it as its own */
	bool settled;         /* no call has failed since the last reply */
	byte quarantine;      /* ticks until the lease of another host has ended */
	byte calling = NONE;  /* the write whose reply the host waits for */
	byte written;         /* number of writes so far */
	byte recognized_from; /* first write that the host recognizes as its own; rises with restarts and releases */
	byte lowest;          /* read versions below it are outdated */
	bool lent             /* this host knows of a cold request in progress */
}
Host host[HOSTS];

/* A cold request, from the grant of its credit to its completion. */
mtype = { free, granted, checked, running };
typedef Credit {
	mtype state = free;
	byte left;            /* ticks until it may not be sent (granted), must arrive (checked) or ends (running) */
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
		host[h].own = (n / WRITES == h && n % WRITES >= host[h].recognized_from && !write[n].released);
#endif
		if
		:: write[n].released -> host[h].quarantine = write[n].work_left
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

/* Ends the pending writes that are based on an older version, which the store can only refuse. */
#ifndef SEED_UNCONDITIONAL
#define SUPERSEDE for (i : 0 .. HOSTS * WRITES - 1) { \
		if :: write[i].state == underway && write[i].ifVersion != version -> write[i].state = over :: else fi }; i = 0
#else
#define SUPERSEDE skip
#endif

/* The store accepts or refuses a write at any time after it was sent. */
inline process_write(n) {
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
	/* read: the host reads the newest lease or the previous one; a failed read only delays this transition */
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
	/* take: the host takes the lease after the quarantine */
	:: d_step { host[h].calling == NONE && host[h].settled && !host[h].own && host[h].quarantine == 0 && host[h].written < WRITES ->
		put(h); write[n].epoch++; n = 0 }
	/* renew, or take the next epoch if the own term expired and no other host has written */
	:: d_step { host[h].calling == NONE && host[h].settled && host[h].own && host[h].written < WRITES ->
		put(h);
		if :: write[host[h].nonce].left <= MARGIN -> write[n].epoch++ :: else fi; n = 0 }
	/* release: the host no longer recognizes its earlier nonces as its own */
	:: d_step { host[h].calling == NONE && host[h].own && host[h].written < WRITES ->
		host[h].own = false;
		host[h].settled = false;
		host[h].recognized_from = host[h].written + 1;
		put(h);
		write[n].released = true; write[n].left = 0; write[n].work_left = QUARANTINE - TTL + WORK_LEFT(host[h].nonce); n = 0 }
	/* written: the reply arrives */
	:: d_step { host[h].calling != NONE && write[host[h].calling].state == over && nonce == host[h].calling ->
		n = host[h].calling;
		host[h].calling = NONE;
		adopt(h, version, n);
#ifdef SEED_TERM_FROM_REPLY
		write[n].left = TTL;
#endif
		host[h].settled = true; n = 0 }
	/* refused: the store accepted another write before this one */
	:: d_step { host[h].calling != NONE && write[host[h].calling].state == over && nonce != host[h].calling && oldNonce != host[h].calling ->
		host[h].lowest = write[host[h].calling].ifVersion + 1;
		host[h].calling = NONE; host[h].settled = false }
	/* unknown: the reply is lost, and the write may still reach the store later */
	:: d_step { host[h].calling != NONE -> host[h].calling = NONE; host[h].settled = false }
	/* grant a cold credit */
	:: d_step { HOLDS(h) && !host[h].lent && credit[0].state == free ->
		credit[0].state = granted; credit[0].owner = h; credit[0].left = write[host[h].nonce].left - MARGIN;
		host[h].lent = true }
	:: d_step { HOLDS(h) && !host[h].lent && credit[0].state != free && credit[1].state == free ->
		credit[1].state = granted; credit[1].owner = h; credit[1].left = write[host[h].nonce].left - MARGIN;
		host[h].lent = true }
	/* restart: the host loses all its state; the state of the store remains */
	:: d_step { crashes < CRASHES ->
		crashes++;
		host[h].version = 0; host[h].nonce = NONE; host[h].epoch = 0; host[h].released = false;
		host[h].seen = false; host[h].own = false; host[h].settled = false; host[h].quarantine = 0;
		host[h].calling = NONE; host[h].lowest = 0; host[h].lent = false;
		host[h].recognized_from = host[h].written;
		for (i : 0 .. CREDITS - 1) {
			if :: credit[i].owner == h -> credit[i].owner = NONE :: else fi
		}
		i = 0 }
#ifdef SEED_REGAINED_UNDER_ONE_LEASE
	/* the host loses and regains the group under the same lease, and no longer knows its credits in use */
	:: d_step { host[h].lent ->
		host[h].lent = false;
		for (i : 0 .. CREDITS - 1) {
			if :: credit[i].owner == h -> credit[i].owner = NONE :: else fi
		}
		i = 0 }
#endif
	od
}

/* Runs one cold request from the grant of its credit to its completion. */
proctype Borrower(byte c) {
end:
	do
	/* check, directly before sending */
	:: d_step { credit[c].state == granted && MAY_SEND(c) -> credit[c].state = checked; credit[c].left = GAP }
	/* give back the unused credit */
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
	:: d_step { write[n].state == underway -> process_write(n) }
	od
}

/* A write that nothing refers to any more. Clearing its fields merges states that are otherwise equal. */
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
			if :: DEAD(i) -> write[i].left = 0; write[i].ifVersion = 0; write[i].epoch = 0; write[i].work_left = 0; write[i].released = false :: else fi
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
