/*
 * Signs of life between the entry hosts of a region, each of which follows the
 * store or reads from another: they start at a host that follows the store and
 * are passed on with the number of hosts between. Hosts change whom they read
 * from as they like, so that circles come about.
 *
 * Checked: between two events, that is, signs that a host makes and changes of
 * source, only so many signs are delivered. In a circle without the store they
 * die out, so every host in it notices the silence.
 *
 * Transitions and the code that makes them: see docs/SPECIFICATION.md.
 */
#ifndef N
#define N 3
#endif
#ifndef MAXHOPS
#define MAXHOPS 2
#endif
#ifndef EVENTS
#define EVENTS 5
#endif
#define STORE N
/* Each of at most N signs on their way reaches at most N hosts with each number of hops. */
#define LIMIT (N * N * (MAXHOPS + 1))

/* Whom a host reads from. */
byte source[N];
/* The sign on its way to a host, and the last one that it gave its readers: hops + 1, zero for none. */
byte coming[N], last[N];
byte events, delivered;

inline tell(h, sign) {
	last[h] = sign;
	for (r : 0 .. N - 1) {
		if
		:: source[r] == h -> coming[r] = sign
		:: else
		fi
	};
	r = 0
}

proctype Region() {
	byte h, r, s;
	do
	:: events < EVENTS ->
		d_step { events++; delivered = 0 };
		select(h : 0 .. N - 1);
		if
		:: source[h] == STORE -> d_step { tell(h, 1) }
		:: select(s : 0 .. N);
			if
			:: s != h -> d_step {
				source[h] = s;
				coming[h] = 0;
				if
				:: s < N -> coming[h] = last[s]        /* the first line of a stream */
				:: else
				fi }
			:: else
			fi
		fi
	:: select(h : 0 .. N - 1);
		if
		:: coming[h] > 0 ->
			d_step {
				s = coming[h];
				coming[h] = 0;
				delivered++;
				assert(delivered <= LIMIT);
				if
#ifdef SEED_NO_BOUND_ON_HOPS
				:: tell(h, s)
#else
#ifdef SEED_OWN_SIGNS_OF_LIFE
				:: tell(h, 1)
#else
				:: s <= MAXHOPS -> tell(h, s + 1)
				:: else
#endif
#endif
				fi
			}
		:: else -> break
		fi
	od
}

init {
	d_step {
		byte i;
		for (i : 0 .. N - 1) { source[i] = STORE };
		i = 0
	};
	run Region()
}
