/*
 * Model of the publication of configurations. A change is accepted by a
 * conditional update of an index object in the store. A publisher that loses
 * the reply to its update reads the index again to determine the outcome. Hosts
 * that are relays watch the index. All hosts may restart, and they send
 * configurations to each other.
 *
 * The revision of the index is the version of its object. Steps that only wait
 * are omitted, so every run terminates, and its final state is checked.
 *
 * docs/SPECIFICATION.md maps the transitions to the code that implements them.
 */
#ifndef PUBLISHERS
#define PUBLISHERS 2
#endif
#ifndef HOSTS
#define HOSTS 3
#endif
#ifndef RELAYS
#define RELAYS 2          /* hosts 0 .. RELAYS - 1 watch the index */
#endif
#ifndef WRITES
#define WRITES 2          /* attempted updates of each publisher */
#endif
#ifndef RESTARTS
#define RESTARTS 2        /* total for all hosts */
#endif
#ifndef SAME_TEAM
#define SAME_TEAM 0       /* 1: the changes conflict because they edit the same document, so one must be refused */
#endif
#ifndef CHANGES
#define CHANGES 0         /* changes that are accepted without a publisher, to check only the hosts */
#endif
#define MAX 6             /* array size, greater than the number of versions of the index */

/* holds[v]: the changes that version v of the index contains, one bit for each publisher. */
byte version;
byte holds[MAX];

mtype = { unsent, underway, accepted, refused };
typedef Update {
	mtype state = unsent;
	byte ifVersion;
	byte changes
}
Update update[PUBLISHERS * WRITES + 1];

/* The outcomes that were reported to operators, one bit for each publisher. */
byte reported_accepted, reported_refused;
byte ended;

#define NEVER 255
#define BIT(p) (1 << (p))

#if PUBLISHERS > 0
/* The store accepts or refuses an update at any time after it was sent. */
proctype Store(byte n) {
end:
	do
	:: d_step { update[n].state == underway ->
		if
#ifndef SEED_UNCONDITIONAL
		:: update[n].ifVersion != version -> update[n].state = refused
		:: else ->
#else
		:: true ->
#endif
			/* No change is accepted twice, and no accepted change is lost. */
			assert((holds[version] & BIT(n / WRITES)) == 0);
			version++;
			holds[version] = update[n].changes;
			assert((reported_accepted & holds[version]) == reported_accepted);
			assert((holds[version - 1] & holds[version]) == holds[version - 1]);
			assert((reported_refused & holds[version]) == 0);
			update[n].state = accepted
		fi }
	od
}

proctype Publisher(byte p) {
	byte floor, base = NEVER, pending = NEVER, tries, n, seen;
step:
	skip;
	if
	/* read the index, possibly an older version; a version below the floor is known to be outdated */
	:: d_step { true -> seen = version }
	:: d_step { version > 0 && version - 1 >= floor && (base == NEVER || version - 1 >= base) -> seen = version - 1 }
	/* the operator's timeout expires */
	:: goto out_of_time
	fi;
	if
	:: d_step { (holds[seen] & BIT(p)) != 0 -> reported_accepted = reported_accepted | BIT(p) }; goto done
	:: else
	fi;
	skip;
	d_step {
		if :: pending != NEVER && seen > pending -> pending = NEVER :: else fi;
		if :: pending == NEVER && base == NEVER -> base = seen :: else fi
	}
	if
	/* refuse: another change of the same document was accepted after the base version */
	:: SAME_TEAM && pending == NEVER && holds[seen] != holds[base] -> goto refuse
	:: !(SAME_TEAM && pending == NEVER && holds[seen] != holds[base])
	fi;
	if
	:: tries == WRITES -> goto out_of_time
	:: d_step { tries < WRITES ->
		/* update */
		n = p * WRITES + tries;
		tries++;
		update[n].ifVersion = seen;
		update[n].changes = holds[seen] | BIT(p);
		update[n].state = underway }
	fi;
	if
	:: update[n].state == accepted -> d_step { reported_accepted = reported_accepted | BIT(p) }; goto done
	:: d_step { update[n].state == refused -> floor = seen + 1 }; goto step
	/* unavailable: the store replies that it did not apply the update */
	:: d_step { update[n].state == underway -> update[n].state = refused }; goto step
	/* unknown: the reply is lost, and the store may still apply the update later */
	:: d_step { true ->
#ifndef SEED_NO_READ_BACK
		floor = seen; pending = seen
#else
		skip
#endif
		}; goto step
	fi;
out_of_time:
	skip;
	if
	:: pending == NEVER -> goto refuse
	:: pending != NEVER -> goto done
	fi;
refuse:
	skip;
	d_step {
		reported_refused = reported_refused | BIT(p);
		assert((holds[version] & reported_refused) == 0)
	}
done:
	ended++
}

#endif

typedef Host {
	byte revision;        /* of the configuration that the host runs, 0 for none */
	bool open;            /* the peers' heartbeats were received since the host started, so it may adopt */
	byte highest_reported; /* highest revision that a peer has reported */
	byte floor            /* highest revision that peers which have not restarted since ran when the host started */
}
Host host[HOSTS];
byte restarts;
/* applied[r]: a host has run revision r, so a message may contain it. */
bool applied[MAX];

inline record_heartbeats(h) {
	for (i : 0 .. HOSTS - 1) {
		if :: host[i].revision > host[h].highest_reported -> host[h].highest_reported = host[i].revision :: else fi
	}
	i = 0
}

/* Lowers the floor of h to the highest revision that its peers run. */
inline lower_floor(h) {
	highest = 0;
	for (j : 0 .. HOSTS - 1) {
		if :: j != h && host[j].revision > highest -> highest = host[j].revision :: else fi
	}
	if :: host[h].floor > highest -> host[h].floor = highest :: else fi;
	j = 0; highest = 0
}

inline adopt(h, r) {
#ifndef SEED_ACCEPT_OLDER_INDEX
	assert(r > host[h].revision);
#else
	assert(r >= host[h].revision);
#endif
	host[h].revision = r;
	applied[r] = true
}

#ifdef SEED_ADOPT_BEFORE_HEARTBEATS
#define OPEN(h) true
#else
#define OPEN(h) host[h].open
#endif
#ifdef SEED_ACCEPT_OLDER_INDEX
#define NEWER(r, h) (r != host[h].revision)
#define NOT_BEHIND(r, h) true
#else
#define NEWER(r, h) (r > host[h].revision)
#define NOT_BEHIND(r, h) (r >= host[h].highest_reported)
#endif

/* A restarted host must not fall behind the revisions that its peers run. */
#define AS_NEW_AS_PEERS(h) (host[h].revision >= host[h].floor)
/*
 * A host without a configuration accepts no revision below the highest that a
 * peer has reported. A host that runs a configuration accepts any newer one.
 */
#ifdef SEED_ACCEPT_LESS_THAN_REPORTED
#define ACCEPTS(r, h) (r > host[h].revision)
#else
#define ACCEPTS(r, h) (r > host[h].revision && (host[h].revision > 0 || r >= host[h].highest_reported))
#endif
#define MESSAGE(r) (r <= version && applied[r])
#if HOSTS > 2
#define PEER_AHEAD(h) (host[0].revision > host[h].highest_reported || host[1].revision > host[h].highest_reported || \
	host[2].revision > host[h].highest_reported)
#else
#define PEER_AHEAD(h) (host[0].revision > host[h].highest_reported || host[1].revision > host[h].highest_reported)
#endif

proctype Entry(byte h) {
	byte i, j, highest;
end:
	do
	/* open: the host has received its peers' heartbeats */
	:: d_step { !host[h].open -> host[h].open = true; record_heartbeats(h) }
	/* heartbeat of a peer that runs a higher revision than any reported so far */
	:: d_step { host[h].open && PEER_AHEAD(h) -> record_heartbeats(h) }
	/* watch: the host receives the current index or an older version */
	:: d_step { h < RELAYS && OPEN(h) && NEWER(version, h) && NOT_BEHIND(version, h) ->
		adopt(h, version);
		assert(AS_NEW_AS_PEERS(h)) }
	:: d_step { h < RELAYS && OPEN(h) && version > 1 && NEWER(version - 1, h) && NOT_BEHIND(version - 1, h) ->
		adopt(h, version - 1);
		assert(AS_NEW_AS_PEERS(h)) }
	:: d_step { h < RELAYS && OPEN(h) && version > 2 && NEWER(version - 2, h) && NOT_BEHIND(version - 2, h) ->
		adopt(h, version - 2);
		assert(AS_NEW_AS_PEERS(h)) }
	/* receive: a configuration from a peer, possibly delayed for a long time */
	:: d_step { OPEN(h) && MESSAGE(1) && ACCEPTS(1, h) -> adopt(h, 1); assert(AS_NEW_AS_PEERS(h)) }
	:: d_step { OPEN(h) && MESSAGE(2) && ACCEPTS(2, h) -> adopt(h, 2); assert(AS_NEW_AS_PEERS(h)) }
	:: d_step { OPEN(h) && MESSAGE(3) && ACCEPTS(3, h) -> adopt(h, 3); assert(AS_NEW_AS_PEERS(h)) }
	/* restart */
	:: d_step { host[h].revision > 0 && restarts < RESTARTS ->
		restarts++; host[h].revision = 0; host[h].open = false; host[h].highest_reported = 0;
		host[h].floor = NEVER;
		for (i : 0 .. HOSTS - 1) { lower_floor(i) }
		i = 0 }
	od
}

/* In the final state, every host runs the revision of the index. */
proctype Observer() {
	byte i;
	timeout -> d_step {
		assert(ended == PUBLISHERS);
		assert((reported_accepted & holds[version]) == reported_accepted);
		assert((reported_refused & holds[version]) == 0);
		for (i : 0 .. HOSTS - 1) { assert(host[i].revision == version) }
	}
}

init {
	byte i;
	atomic {
#if PUBLISHERS > 0
		for (i : 0 .. PUBLISHERS * WRITES - 1) { run Store(i) }
		for (i : 0 .. PUBLISHERS - 1) { run Publisher(i) }
#endif
		for (i : 0 .. HOSTS - 1) { run Entry(i) }
		run Observer();
		i = 0
	}
#if CHANGES > 0
	do
	:: version < CHANGES -> version++
	:: version == CHANGES -> break
	od
#endif
}
