/*
 * Model of the heartbeats between the entry hosts of a region. Each host follows
 * the store or reads from another host. A host that follows the store creates
 * heartbeats, and the hosts that read from it forward them with the number of
 * hops. A host may change its source at any time, so cycles can form.
 *
 * The model checks that at most LIMIT heartbeats are delivered between two
 * events, which are the creation of a heartbeat and a change of source. So
 * heartbeats in a cycle that is not connected to the store cease, and every host
 * in it detects the silence.
 *
 * docs/SPECIFICATION.md maps the transitions to the code that implements them.
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
/* Each of at most N heartbeats in transit reaches at most N hosts with each number of hops. */
#define LIMIT (N * N * (MAXHOPS + 1))

/* The host that each host reads from, or STORE. */
byte source[N];
/* The heartbeat in transit to each host, and the last one that it sent to its readers: hops + 1, zero for none. */
byte in_transit[N], last_sent[N];
byte events, delivered;

inline publish(h, heartbeat) {
	last_sent[h] = heartbeat;
	for (r : 0 .. N - 1) {
		if
		:: source[r] == h -> in_transit[r] = heartbeat
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
		:: source[h] == STORE -> d_step { publish(h, 1) }
		:: select(s : 0 .. N);
			if
			:: s != h -> d_step {
				source[h] = s;
				in_transit[h] = 0;
				if
				:: s < N -> in_transit[h] = last_sent[s]        /* the first line of the stream repeats the last heartbeat */
				:: else
				fi }
			:: else
			fi
		fi
	:: select(h : 0 .. N - 1);
		if
		:: in_transit[h] > 0 ->
			d_step {
				s = in_transit[h];
				in_transit[h] = 0;
				delivered++;
				assert(delivered <= LIMIT);
				if
#ifdef SEED_NO_BOUND_ON_HOPS
				:: publish(h, s)
#else
#ifdef SEED_HOPS_RESET
				:: publish(h, 1)
#else
				:: s <= MAXHOPS -> publish(h, s + 1)
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
