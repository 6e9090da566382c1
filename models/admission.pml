/*
 * Checks how requests wait in the admission queue of a group's owner.
 *
 * Two hosts have one request each for the only slot of a group. A host sends its request to an owner, repeats it
 * while it waits, turns to the other owner if this one is silent, and withdraws the request where it no longer
 * waits. An owner grants its slot, queues or rejects a request, and caches its final responses for some time.
 *
 * Assumptions: requests, responses and withdrawals are lost, arrive twice and overtake each other, but none
 * arrives later than the time for which a response is cached after it was last sent. Reports that return slots
 * are checked by slots.pml and arrive in order here. Owners do not know of each other's grants. The first owner
 * is killed, or paused for longer than any time-out, at most once. A request that a host sends again under a new
 * number is a new request, and not followed.
 *
 * What must hold:
 * - no two requests use the slot by grants of the same owner, unless it was paused between the two;
 * - an owner grants no slot to a request that it granted one or rejected, or that was withdrawn, shortly before;
 * - a request whose caller has left does not begin;
 * - once no message is lost any more, each request gets a slot or is refused: there is no state without a next
 *   step in which a request waits.
 */
#define HOSTS 2
#define OWNERS 2
#define MAX_TURNS 1  /* to the other owner */
#define ENTRIES 4    /* one for each host and owner */
#define ENTRY(h, o) ((h) * 2 + (o))
#define HOST(e) ((e) / 2)
#define OWNER(e) ((e) % 2)

mtype = { none, asking, running, ended };
mtype = { granted, rejected, withdrawn };

mtype state[HOSTS] = none;
byte asked[HOSTS];         /* the owner that the host sends its request to */
byte turns[HOSTS];
byte granted_by[HOSTS];    /* 1 + the owner whose grant a running request uses; 0 if that owner was paused since */

/* messages in flight, by request and owner */
bool request[ENTRIES], withdrawal[ENTRIES], grant[ENTRIES], rejection[ENTRIES], busy[ENTRIES];

/* state of the owners */
bool queued[ENTRIES];
mtype cached[ENTRIES] = none;
bool received[ENTRIES];    /* the host received the grant */
byte holder[OWNERS];       /* 1 + the entry that the slot is granted to, 0 for none */
bool killed[OWNERS];
bool failed = false;       /* an owner was killed or paused */
bool calm = false;         /* no message is lost, no owner fails and no caller leaves any more */

#define IS_ASKING(e) (state[HOST(e)] == asking)
#define ASKS_HERE(e) (IS_ASKING(e) && asked[HOST(e)] == OWNER(e))
#define QUEUED_AT(o) (queued[ENTRY(0, o)] || queued[ENTRY(1, o)])

/* sends a message, which may be lost */
inline send(message) { if :: message = true :: !calm -> skip fi }

/* takes a message out of flight, unless it arrives again */
inline take(message) { if :: message = false :: !calm -> skip fi }

/* sends a rejection or the notice that a request is not queued; without effect if the host does not wait for it */
inline respond(message, entry) { if :: message = IS_ASKING(entry) :: !calm -> skip fi }

/* ends the wait of a host's request: other responses have no effect any more */
inline end_wait(h, next) {
  state[h] = next; turns[h] = MAX_TURNS;
  rejection[ENTRY(h, 0)] = false; rejection[ENTRY(h, 1)] = false;
  busy[ENTRY(h, 0)] = false; busy[ENTRY(h, 1)] = false
}

inline grant_slot(entry) {
  assert(cached[entry] == none);
  queued[entry] = false; holder[OWNER(entry)] = entry + 1; received[entry] = false;
  cached[entry] = granted; send(grant[entry])
}

inline withdraw() {
  if
  :: killed[asked[h]] -> skip
  :: else -> send(withdrawal[ENTRY(h, asked[h])])
  fi
}

inline send_request() {
  if
  :: killed[asked[h]] -> skip
  :: else -> send(request[ENTRY(h, asked[h])])
  fi
}

proctype host(byte h) {
end:
  do
  :: atomic { state[h] == none -> state[h] = asking; send_request() }
  /* a waiting request is repeated; once no message is lost any more, only if its owner has dropped it */
  :: atomic {
       state[h] == asking && !killed[asked[h]] && !request[ENTRY(h, asked[h])] &&
       (!calm || !queued[ENTRY(h, asked[h])] && !grant[ENTRY(h, asked[h])] &&
                 !rejection[ENTRY(h, asked[h])] && !busy[ENTRY(h, asked[h])]) &&
       /* Mutant: a host does not repeat a waiting request, which an owner may have dropped. */
#ifdef MUTANT_SENDS_ONCE
       false &&
#endif
       true -> send_request()
     }
  /* the owner seems silent: the host turns to the other one; host 1 only if the owner was killed */
  :: atomic {
       state[h] == asking && (!calm && h == 0 || killed[asked[h]]) && turns[h] < MAX_TURNS ->
       withdraw(); turns[h]++; asked[h] = 1 - asked[h]; send_request()
     }
  /* both owners seem silent: the host sends the request to a target by itself */
  :: atomic {
       state[h] == asking && (!calm || killed[asked[h]]) && turns[h] > 0 -> withdraw(); end_wait(h, ended)
     }
  /* the caller leaves */
  :: atomic { state[h] == asking && !calm -> withdraw(); end_wait(h, ended) }
  :: atomic { state[h] == running -> state[h] = ended; granted_by[h] = 0 }
  od
}

/* messages of one request between its host and one owner */
proctype messages(byte e) {
end:
  do
  /* a request arrives at an owner */
  :: atomic {
       request[e] -> take(request[e]);
       if
       :: killed[OWNER(e)] -> skip
       /* Mutant: a repeated request is queued again under the same number after its grant. */
#ifndef MUTANT_QUEUES_GRANTED
       :: !killed[OWNER(e)] && cached[e] == granted ->
            if :: holder[OWNER(e)] == e + 1 -> send(grant[e]) :: else fi
#endif
       /* Mutant: a withdrawn request that is repeated late is queued again. */
#ifndef MUTANT_QUEUES_WITHDRAWN
       :: !killed[OWNER(e)] && cached[e] == withdrawn -> respond(busy[e], e)
#endif
       /* Mutant: a rejected request is queued again if it is repeated before its host received the rejection. */
#ifndef MUTANT_QUEUES_REJECTED
       :: !killed[OWNER(e)] && cached[e] == rejected -> respond(rejection[e], e)
#endif
       :: else ->
            if
            :: queued[e] -> skip
            :: !queued[e] && !QUEUED_AT(OWNER(e)) && holder[OWNER(e)] == 0 -> grant_slot(e)
            :: !queued[e] && (QUEUED_AT(OWNER(e)) || holder[OWNER(e)] > 0) -> queued[e] = true
            :: !queued[e] && (QUEUED_AT(OWNER(e)) || holder[OWNER(e)] > 0) ->
                 cached[e] = rejected; respond(rejection[e], e)
            fi
       fi
     }
  /* a withdrawal arrives at an owner */
  :: atomic {
       withdrawal[e] -> withdrawal[e] = false;
       if
       :: killed[OWNER(e)] -> skip
       :: else ->
            queued[e] = false;
            if :: cached[e] == none -> cached[e] = withdrawn :: else fi
       fi
     }
  /* a grant arrives at the host, which uses it if the request still waits */
  :: atomic {
       grant[e] -> take(grant[e]); received[e] = (holder[OWNER(e)] == e + 1);
       if
       :: IS_ASKING(e) ||
          /* Mutant: a host uses a grant although the caller has left. */
#ifdef MUTANT_USES_GRANT_FOR_NOBODY
          state[HOST(e)] == ended ||
#endif
          false ->
            assert(state[HOST(e)] == asking);
            end_wait(HOST(e), running); granted_by[HOST(e)] = OWNER(e) + 1;
            assert(state[1 - HOST(e)] != running || granted_by[1 - HOST(e)] != granted_by[HOST(e)]);
            if
            :: asked[HOST(e)] != OWNER(e) -> 
                 send(withdrawal[ENTRY(HOST(e), 1 - OWNER(e))])
            :: else
            fi
       :: else
       fi
     }
  /* a rejection arrives at the host */
  :: atomic {
       rejection[e] -> rejection[e] = false;
       if :: ASKS_HERE(e) -> end_wait(HOST(e), ended) :: else fi
     }
  /* the host learns that its request was withdrawn before, and sends it as a new one */
  :: atomic {
       busy[e] -> busy[e] = false;
       if :: ASKS_HERE(e) -> end_wait(HOST(e), ended) :: else fi
     }
  /* the owner grants its slot to a waiting request */
  :: atomic { queued[e] && holder[OWNER(e)] == 0 -> grant_slot(e) }
  /* the owner rejects a waiting request: its deadline has passed or the queue is full */
  :: atomic { queued[e] && !calm -> queued[e] = false; cached[e] = rejected; respond(rejection[e], e) }
  /* the owner drops a waiting request that its host does not repeat, or whose repeats are lost */
  :: atomic { queued[e] && !request[e] && (!calm || !ASKS_HERE(e)) -> queued[e] = false }
  /* a report shows that the granted slot is not in use, or not any more */
  :: atomic {
       holder[OWNER(e)] == e + 1 && received[e] &&
       !(state[HOST(e)] == running && granted_by[HOST(e)] == OWNER(e) + 1) ->
         holder[OWNER(e)] = 0; received[e] = false; grant[e] = false
     }
  /* an unused grant expires, with the cached response */
  :: atomic {
       holder[OWNER(e)] == e + 1 && !received[e] &&
       /* Mutant: the reservation of a slot ends although the owner repeated the grant shortly before. */
#ifndef MUTANT_EXPIRES_REPEATED_GRANT
       !grant[e] &&
#endif
       true -> holder[OWNER(e)] = 0; cached[e] = none
     }
  /* another cached response expires */
  :: atomic {
       cached[e] != none && holder[OWNER(e)] != e + 1 && !request[e] && !grant[e] && !rejection[e] &&
       !busy[e] -> cached[e] = none
     }
  od
}

/* an owner is killed, or paused for longer than any time-out */
proctype failure(byte o) {
  byte e;
end:
  do
  :: atomic {
       !failed && !calm ->
       failed = true;
       if
       :: killed[o] = true
       :: granted_by[0] = (granted_by[0] == o + 1 -> 0 : granted_by[0]);
          granted_by[1] = (granted_by[1] == o + 1 -> 0 : granted_by[1])
       fi;
       holder[o] = 0; e = 0;
       do
       :: e < ENTRIES && OWNER(e) == o ->
            queued[e] = false; cached[e] = none; received[e] = false;
            grant[e] = grant[e] && killed[o]; rejection[e] = rejection[e] && killed[o];
            busy[e] = busy[e] && killed[o]; e++
       :: e < ENTRIES && OWNER(e) != o -> e++
       :: else -> break
       od;
       e = 0
     }
  od
}

init {
  byte i = 0;
  atomic {
    run host(0); run host(1); run failure(0);
    do :: i < ENTRIES -> run messages(i); i++ :: else -> break od;
    i = 0
  }
  calm = true;
  /* nothing happens any more: each request has got a slot or was refused */
  timeout;
  assert(state[0] == ended && state[1] == ended)
}
