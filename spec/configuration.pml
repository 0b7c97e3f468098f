/*
 * The configuration: an index in the store whose conditional update accepts a
 * change, publishers that settle lost replies by reading back, relays that
 * watch the index, and hosts that restart and hear of it from each other.
 *
 * The revision of the index is the version of its object. Steps that only wait
 * are left out, so every run ends, and its last state is checked.
 *
 * Transitions and the code that makes them: see docs/SPECIFICATION.md.
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
#define WRITES 2          /* updates that one publisher tries */
#endif
#ifndef RESTARTS
#define RESTARTS 2        /* of all hosts together */
#endif
#ifndef SAME_TEAM
#define SAME_TEAM 0       /* 1: the changes touch one document, so one must lose */
#endif
#ifndef CHANGES
#define CHANGES 0         /* accepted without publishers, to check the hosts alone */
#endif
#define MAX 6             /* more than the versions of the index */

/* holds[v]: which changes the index holds at version v, a bit for each publisher. */
byte version;
byte holds[MAX];

mtype = { unsent, underway, accepted, refused };
typedef Update {
	mtype state = unsent;
	byte ifVersion;
	byte changes
}
Update update[PUBLISHERS * WRITES + 1];

/* What operators were told, a bit for each publisher. */
byte told_accepted, told_refused;
byte ended;

#define NEVER 255
#define BIT(p) (1 << (p))

#if PUBLISHERS > 0
/* The store takes an update, at any moment after its sending, or refuses it. */
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
			/* No change is accepted twice, and none that was accepted vanishes. */
			assert((holds[version] & BIT(n / WRITES)) == 0);
			version++;
			holds[version] = update[n].changes;
			assert((told_accepted & holds[version]) == told_accepted);
			assert((holds[version - 1] & holds[version]) == holds[version - 1]);
			assert((told_refused & holds[version]) == 0);
			update[n].state = accepted
		fi }
	od
}

proctype Publisher(byte p) {
	byte floor, base = NEVER, pending = NEVER, tries, n, seen;
step:
	skip;
	if
	/* read the index, perhaps an older one; one below the floor is known to be outdated */
	:: d_step { true -> seen = version }
	:: d_step { version > 0 && version - 1 >= floor && (base == NEVER || version - 1 >= base) -> seen = version - 1 }
	/* the operator's patience ends */
	:: goto out_of_time
	fi;
	if
	:: d_step { (holds[seen] & BIT(p)) != 0 -> told_accepted = told_accepted | BIT(p) }; goto done
	:: else
	fi;
	skip;
	d_step {
		if :: pending != NEVER && seen > pending -> pending = NEVER :: else fi;
		if :: pending == NEVER && base == NEVER -> base = seen :: else fi
	}
	if
	/* refuse: another change of the document was accepted after the base */
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
	:: update[n].state == accepted -> d_step { told_accepted = told_accepted | BIT(p) }; goto done
	:: d_step { update[n].state == refused -> floor = seen + 1 }; goto step
	/* unavailable: the store says that it took nothing */
	:: d_step { update[n].state == underway -> update[n].state = refused }; goto step
	/* unknown: the reply is lost, and the update may be taken later */
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
		told_refused = told_refused | BIT(p);
		assert((holds[version] & told_refused) == 0)
	}
done:
	ended++
}

#endif

typedef Host {
	byte revision;        /* in force, 0 for none */
	bool open;            /* the peers were heard since the start */
	byte heard;           /* highest revision heard of a peer */
	byte floor            /* what peers that are still alive ran when the host started */
}
Host host[HOSTS];
byte restarts;
/* inforce[r]: revision r was in force somewhere, so a message may carry it. */
bool inforce[MAX];

inline hear(h) {
	for (i : 0 .. HOSTS - 1) {
		if :: host[i].revision > host[h].heard -> host[h].heard = host[i].revision :: else fi
	}
	i = 0
}

/* What the peers of h run bounds the floor of h from above. */
inline peers(h) {
	highest = 0;
	for (j : 0 .. HOSTS - 1) {
		if :: j != h && host[j].revision > highest -> highest = host[j].revision :: else fi
	}
	if :: host[h].floor > highest -> host[h].floor = highest :: else fi;
	j = 0; highest = 0
}

inline adopt(h, r) {
#ifndef SEED_BELIEVE_OLDER_INDEX
	assert(r > host[h].revision);
#else
	assert(r >= host[h].revision);
#endif
	host[h].revision = r;
	inforce[r] = true
}

#ifdef SEED_ADOPT_BEFORE_PEERS_ARE_HEARD
#define OPEN(h) true
#else
#define OPEN(h) host[h].open
#endif
#ifdef SEED_BELIEVE_OLDER_INDEX
#define NEWER(r, h) (r != host[h].revision)
#define NOT_BEHIND(r, h) true
#else
#define NEWER(r, h) (r > host[h].revision)
#define NOT_BEHIND(r, h) (r >= host[h].heard)
#endif

/* A host that starts goes on from what the others run. */
#define AS_NEW_AS_PEERS(h) (host[h].revision >= host[h].floor)
/* It takes nothing older than it has heard, while one that runs something may rise step by step. */
#ifdef SEED_TAKE_LESS_THAN_HEARD
#define TAKES(r, h) (r > host[h].revision)
#else
#define TAKES(r, h) (r > host[h].revision && (host[h].revision > 0 || r >= host[h].heard))
#endif
#define MESSAGE(r) (r <= version && inforce[r])
#if HOSTS > 2
#define PEER_AHEAD(h) (host[0].revision > host[h].heard || host[1].revision > host[h].heard || host[2].revision > host[h].heard)
#else
#define PEER_AHEAD(h) (host[0].revision > host[h].heard || host[1].revision > host[h].heard)
#endif

proctype Entry(byte h) {
	byte i, j, highest;
end:
	do
	/* open: the peers' heartbeats were heard */
	:: d_step { !host[h].open -> host[h].open = true; hear(h) }
	/* heartbeat of a peer that runs more */
	:: d_step { host[h].open && PEER_AHEAD(h) -> hear(h) }
	/* watch: the index as it is, or an older one */
	:: d_step { h < RELAYS && OPEN(h) && NEWER(version, h) && NOT_BEHIND(version, h) ->
		adopt(h, version);
		assert(AS_NEW_AS_PEERS(h)) }
	:: d_step { h < RELAYS && OPEN(h) && version > 1 && NEWER(version - 1, h) && NOT_BEHIND(version - 1, h) ->
		adopt(h, version - 1);
		assert(AS_NEW_AS_PEERS(h)) }
	:: d_step { h < RELAYS && OPEN(h) && version > 2 && NEWER(version - 2, h) && NOT_BEHIND(version - 2, h) ->
		adopt(h, version - 2);
		assert(AS_NEW_AS_PEERS(h)) }
	/* receive: a configuration of a peer, perhaps one that was long on its way */
	:: d_step { OPEN(h) && MESSAGE(1) && TAKES(1, h) -> adopt(h, 1); assert(AS_NEW_AS_PEERS(h)) }
	:: d_step { OPEN(h) && MESSAGE(2) && TAKES(2, h) -> adopt(h, 2); assert(AS_NEW_AS_PEERS(h)) }
	:: d_step { OPEN(h) && MESSAGE(3) && TAKES(3, h) -> adopt(h, 3); assert(AS_NEW_AS_PEERS(h)) }
	/* restart */
	:: d_step { host[h].revision > 0 && restarts < RESTARTS ->
		restarts++; host[h].revision = 0; host[h].open = false; host[h].heard = 0;
		host[h].floor = NEVER;
		for (i : 0 .. HOSTS - 1) { peers(i) }
		i = 0 }
	od
}

/* When nothing more can happen, every host runs what the index holds. */
proctype Observer() {
	byte i;
	timeout -> d_step {
		assert(ended == PUBLISHERS);
		assert((told_accepted & holds[version]) == told_accepted);
		assert((told_refused & holds[version]) == 0);
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
