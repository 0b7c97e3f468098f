/*
 * Model of the sending of requests. Once-only and idempotent requests share
 * endpoints and connections. A connection may break at any point, and responses
 * may arrive late.
 *
 * docs/SPECIFICATION.md maps the transitions to the code that implements them.
 */
#ifndef REQUESTS
#define REQUESTS 2
#endif
#ifndef ONCE
#define ONCE 1            /* number of once-only requests, which come first; the others are idempotent */
#endif
#define ONCE_ONLY(r) (r < ONCE)
#ifndef SENDS
#define SENDS 2           /* maximum attempts of one request */
#endif
#ifndef ENDPOINTS
#define ENDPOINTS 2
#endif
#define ATTEMPTS (REQUESTS * SENDS)
#ifdef SEED_TRANSPORT_RESENDS
#define LINKS (ATTEMPTS * 2)
#else
#define LINKS ATTEMPTS
#endif
#define NONE 255

/* A connection to an endpoint. */
mtype = { unused, idle, busy, closed };
typedef Link {
	mtype state = unused;
	byte endpoint;
	byte answer = NONE;   /* the request whose response is in transit on the connection */
	bool states_not_run;  /* the response states that the request was not run */
	bool reused
}
Link link[LINKS];

/* An attempt. arrived is true while the endpoint has received it but has not yet run or refused it. */
mtype = { pending, served, not_run, maybe_run };
typedef Attempt {
	mtype result = pending;
	bool started;
	bool handled;
	bool arrived;
	byte link = NONE
}
Attempt attempt[ATTEMPTS];

/* How often endpoints ran each request, and the outcome that was reported to its caller. */
byte runs[REQUESTS];
mtype reported[REQUESTS] = pending;
bool cancelled[REQUESTS];

/* A request ends at its caller's deadline or when its outcome has been reported. */
#define ENDED(r) cancelled[r]

/* The unused connection that attempt a opens; no two attempts share one. */
#ifdef SEED_TRANSPORT_RESENDS
#define FRESH (link[a].state == unused -> a : a + ATTEMPTS)
#else
#define FRESH a
#endif

inline acquire_link(e) {
	l = 0;
	do
	:: l < LINKS && link[l].state == idle && link[l].endpoint == e -> link[l].reused = true; break
	:: l < LINKS && !(link[l].state == idle && link[l].endpoint == e) -> l++
	:: l == LINKS ->
		l = FRESH;
		link[l].endpoint = e;
		break
	od;
	link[l].state = busy
}

inline discard(l) {
	link[l].state = closed;
	link[l].answer = NONE;
	link[l].states_not_run = false
}

/* One attempt at endpoint e. a is its index among the attempts of all requests. */
proctype Try(byte a; byte e) {
	byte l;
	byte r = a / SENDS;
	if
	/* bind: the request ends before an endpoint is found */
	:: d_step { ENDED(r) -> attempt[a].result = not_run }; goto done
	/* connect */
	:: d_step { true -> acquire_link(e); attempt[a].link = l }
	fi;
send:
	skip;
	if
	/* not sent: no byte was sent, or the permission to send expired */
	:: d_step { true -> discard(l); attempt[a].result = not_run }; goto done
	/* partly sent: the endpoint may nevertheless have received the complete request */
	:: d_step { true -> attempt[a].arrived = true; discard(l) }; goto broken
	:: d_step { true -> discard(l) }; goto broken
	/* sent */
	:: d_step { true -> attempt[a].arrived = true }
	fi;
	if
	/* answered */
	:: d_step { link[l].answer != NONE ->
		assert(link[l].answer == r);
		if
		:: link[l].states_not_run -> attempt[a].result = not_run
		:: else -> attempt[a].result = served
		fi;
		link[l].answer = NONE;
		link[l].states_not_run = false;
		link[l].state = idle }; goto done
	/* closed by the endpoint or the network; a truncated or too long response has the same result */
	:: link[l].state == closed ->
#ifdef SEED_TRANSPORT_RESENDS
		if
		:: link[l].reused -> d_step { acquire_link(e); link[l].reused = false; attempt[a].link = l }; goto send
		:: else -> goto given_up
		fi
#else
		goto given_up
#endif
	/* abandoned: the request has ended, so no one waits for the response any more */
	:: d_step { ENDED(r) && link[l].state == busy ->
#ifdef SEED_REUSE_AFTER_ABANDONED
		link[l].state = idle
#else
		discard(l)
#endif
		}; goto given_up
	fi;
broken:
	skip;
#ifdef SEED_RETRY_AFTER_PARTIAL_WRITE
	attempt[a].result = not_run; goto done;
#endif
given_up:
	attempt[a].result = maybe_run;
done:
	skip
}

/* An endpoint may run a received request at any later time, even after its connection broke. */
proctype Endpoint(byte a) {
	byte r = a / SENDS;
end:
	do
	/* run */
	:: d_step { attempt[a].arrived ->
		attempt[a].arrived = false;
		runs[r]++;
		assert(!ONCE_ONLY(r) || runs[r] <= 1);
		assert(reported[r] != not_run);
		if
		:: attempt[a].link != NONE && link[attempt[a].link].state != closed && link[attempt[a].link].answer == NONE ->
			link[attempt[a].link].answer = r
		:: else
		fi }
	/* refuse, with a response that states that the request was not run */
	:: d_step { attempt[a].arrived ->
		attempt[a].arrived = false;
		if
		:: attempt[a].link != NONE && link[attempt[a].link].state == busy && link[attempt[a].link].answer == NONE ->
			link[attempt[a].link].answer = r; link[attempt[a].link].states_not_run = true
		:: else
		fi }
	od
}

proctype Network(byte c) {
end:
	do
	:: d_step { link[c].state == busy || link[c].state == idle -> discard(c) }
	od
}

inline launch() {
	attempt[r * SENDS + sends].started = true;
	run Try(r * SENDS + sends, (r + sends) % ENDPOINTS);
	sends++;
	running++
}

inline report(outcome) {
	reported[r] = outcome;
	assert(outcome != not_run || runs[r] == 0);
	cancelled[r] = true
}

#define RESULT(k) (attempt[r * SENDS + k].started && !attempt[r * SENDS + k].handled && attempt[r * SENDS + k].result != pending)
#ifdef SEED_HEDGE_ONCE_ONLY
#define MAY_HEDGE true
#else
#define MAY_HEDGE (!ONCE_ONLY(r))
#endif

proctype Dispatcher(byte r) {
	byte sends, running, k;
	bool maybe, over;
	atomic { launch() };
	do
	:: over -> break
	/* hedge */
	:: atomic { !over && MAY_HEDGE && !cancelled[r] && running > 0 && sends < SENDS -> launch() }
	/* deadline */
	:: d_step { !over && !cancelled[r] -> cancelled[r] = true }
#ifdef SEED_LATE_IS_NOT_RUN
	:: d_step { !over && cancelled[r] -> report(not_run); over = true }
#endif
	/* an attempt ends */
	:: atomic { !over && (RESULT(0) || (SENDS > 1 && RESULT(1)) || (SENDS > 2 && RESULT(SENDS - 1))) ->
		k = 0;
		do
		:: RESULT(k) -> break
		:: else -> k++
		od;
		k = r * SENDS + k;
		attempt[k].handled = true;
		running--;
		maybe = maybe || attempt[k].result == maybe_run;
		if
		:: attempt[k].result == served -> report(served); over = true
		:: attempt[k].result != served ->
			if
			/* retry: a once-only request is retried only after an attempt that was not run */
			:: !cancelled[r] && sends < SENDS && (!ONCE_ONLY(r) || attempt[k].result == not_run) -> launch()
			:: running == 0 && maybe -> report(maybe_run); over = true
			:: running == 0 && !maybe -> report(not_run); over = true
			:: running > 0
			fi
		fi;
		k = 0 }
	od
}

/* In the final state, each request has a reported outcome: "not run" only if it never ran, "served" only if it ran. */
proctype Observer() {
	byte r;
	timeout -> d_step {
		for (r : 0 .. REQUESTS - 1) {
			assert(reported[r] != pending);
			assert(reported[r] != not_run || runs[r] == 0);
			assert(reported[r] != served || runs[r] > 0)
		}
	}
}

init {
	byte i;
	atomic {
		for (i : 0 .. ATTEMPTS - 1) { run Endpoint(i) }
		for (i : 0 .. LINKS - 1) { run Network(i) }
		run Observer();
		for (i : 0 .. REQUESTS - 1) { run Dispatcher(i) }
		i = 0
	}
}
