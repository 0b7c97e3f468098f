/*
 * Model of how the entry hosts of a region receive the objects of the store. A
 * source lists and watches two kinds of objects. A watch may lose changes, so
 * the source checks that the changes it received add up to the store's revision.
 * A host reads from the source or lists the store itself.
 *
 * Steps that only wait are omitted, so every run terminates, and its final state
 * is checked.
 *
 * docs/SPECIFICATION.md maps the transitions to the code that implements them.
 */
#ifndef CHANGES
#define CHANGES 3
#endif
#ifndef SWITCHES
#define SWITCHES 2        /* how often the host switches from the source to a list of the store */
#endif
#define KINDS 2
#define MAX 6             /* greater than the number of revisions of the store */

/* The store: its revision, and the revision of the last change of each kind. */
byte revision;
byte last[KINDS];

/* The number of changes that the source's watch of a kind has yet to deliver, and the revision of the newest. */
byte undelivered[KINDS], newest[KINDS];

/*
 * The source: the newest revision that it knows of each kind, the store's
 * revision when the source last began to list (base) and the number of changes
 * received since then (seen). The sum of base and seen should equal the store's
 * revision. listed is 1 while only the first kind has been listed again.
 */
byte known[KINDS];
byte base, seen, listed;

/* The host: the newest revision that it knows of each kind. */
byte host[KINDS];
byte switched;

/* The operator changes an object of a kind; the watch of that kind delivers or loses the change. */
proctype Operator() {
	byte n, kind;
	do
	:: n < CHANGES ->
		if
		:: kind = 0
		:: kind = 1
		fi;
		/* A watch starts at the revision of its list, so it delivers no change that the list contained. */
		if
		:: d_step { revision++; last[kind] = revision; undelivered[kind]++; newest[kind] = revision; n++ }
		:: d_step { revision++; last[kind] = revision; n++ }        /* lost */
		fi
	:: else -> break
	od
}

#ifdef SEED_HIGHEST_REVISION
#define BEHIND (revision > (known[0] > known[1] -> known[0] : known[1]))
#else
#define BEHIND (revision > base + seen)
#endif

/* The source applies the changes that its watches deliver, and lists both kinds again if changes are missing. */
proctype Source() {
	byte kind;
	do
	:: d_step { listed == 0 && undelivered[0] > 0 -> known[0] = newest[0]; seen = seen + undelivered[0]; undelivered[0] = 0 }
	:: d_step { listed == 0 && undelivered[1] > 0 -> known[1] = newest[1]; seen = seen + undelivered[1]; undelivered[1] = 0 }
	:: d_step { listed == 0 && undelivered[0] == 0 && undelivered[1] == 0 && BEHIND ->
		/* List the first kind. The list contains the changes that the old watch has not delivered. */
		known[0] = last[0]; undelivered[0] = 0; undelivered[1] = 0; base = revision; seen = 0; listed = 1 }
	:: d_step { listed == 1 ->
		known[1] = last[1]; undelivered[1] = 0;
#ifdef SEED_BASE_OF_THE_LAST_LIST
		base = revision;
#endif
		listed = 0 }
	:: timeout -> break
	od;
	assert(known[0] == last[0]);
	assert(known[1] == last[1])
}

/* The host adopts the source's view of a kind unless it is older than what the host has listed itself. */
inline adopt_view(kind, received) {
#ifdef SEED_ADOPT_OLDER_VIEW
	d_step { assert(received >= host[kind]); host[kind] = received }
#else
	d_step {
		if
		:: received > host[kind] -> host[kind] = received
		:: else
		fi
	}
#endif
}

proctype Host() {
	do
	:: known[0] != host[0] -> adopt_view(0, known[0]); if :: known[0] < host[0] -> break :: else fi
	:: known[1] != host[1] -> adopt_view(1, known[1]); if :: known[1] < host[1] -> break :: else fi
	:: switched < SWITCHES -> d_step { switched++; host[0] = last[0]; host[1] = last[1] }
	:: timeout -> break
	od
}

init {
	atomic {
		run Operator();
		run Source();
		run Host()
	}
}
