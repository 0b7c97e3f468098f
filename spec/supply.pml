/*
 * The supply of a region's entry hosts with what the store holds: a source that
 * lists and watches two kinds, watches that may lose changes, a check that the
 * changes add up to the store's revision, and a host that reads from the source
 * or lists the store itself.
 *
 * Steps that only wait are left out, so every run ends, and its last state is
 * checked.
 *
 * Transitions and the code that makes them: see docs/SPECIFICATION.md.
 */
#ifndef CHANGES
#define CHANGES 3
#endif
#ifndef SWITCHES
#define SWITCHES 2        /* how often the host changes between the source and the store */
#endif
#define KINDS 2
#define MAX 6             /* more than the revisions of the store */

/* The store: its revision, and that of the last change of each kind. */
byte revision;
byte last[KINDS];

/* Changes that the source's watch of a kind still brings, with the revision of the newest. */
byte coming[KINDS], newest[KINDS];

/* The source: what it knows of each kind, and the sum that should reach the revision. */
byte known[KINDS];
byte base, seen, listed;

/* The host: what it knows of each kind. */
byte host[KINDS];
byte switched;

/* The operator changes a kind; the watch of that kind brings it or loses it. */
proctype Operator() {
	byte n, kind;
	do
	:: n < CHANGES ->
		if
		:: kind = 0
		:: kind = 1
		fi;
		/* A watch starts at the revision of its list, so no change comes that the list held. */
		if
		:: d_step { revision++; last[kind] = revision; coming[kind]++; newest[kind] = revision; n++ }
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

/* The source takes what its watches bring, and lists one kind after the other when the changes do not add up. */
proctype Source() {
	byte kind;
	do
	:: d_step { listed == 0 && coming[0] > 0 -> known[0] = newest[0]; seen = seen + coming[0]; coming[0] = 0 }
	:: d_step { listed == 0 && coming[1] > 0 -> known[1] = newest[1]; seen = seen + coming[1]; coming[1] = 0 }
	:: d_step { listed == 0 && coming[0] == 0 && coming[1] == 0 && BEHIND ->
		/* The first kind is listed: what its old watch would have brought is in the list. */
		known[0] = last[0]; coming[0] = 0; coming[1] = 0; base = revision; seen = 0; listed = 1 }
	:: d_step { listed == 1 ->
		known[1] = last[1]; coming[1] = 0;
#ifdef SEED_BASE_OF_THE_LAST_LIST
		base = revision;
#endif
		listed = 0 }
	:: timeout -> break
	od;
	assert(known[0] == last[0]);
	assert(known[1] == last[1])
}

/* The host takes the source's view, which may be older than what it listed itself. */
inline take(kind, what) {
#ifdef SEED_TAKE_WHAT_COMES
	d_step { assert(what >= host[kind]); host[kind] = what }
#else
	d_step {
		if
		:: what > host[kind] -> host[kind] = what
		:: else
		fi
	}
#endif
}

proctype Host() {
	do
	:: known[0] != host[0] -> take(0, known[0]); if :: known[0] < host[0] -> break :: else fi
	:: known[1] != host[1] -> take(1, known[1]); if :: known[1] < host[1] -> break :: else fi
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
