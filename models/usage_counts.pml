/*
 * Checks one team's rate over three hosts that report their usage counts to each other.
 *
 * Each host keeps a bucket for the whole fleet. A request that it admits itself, or that another alive host
 * reports, costs HOSTS / alive tokens, where `alive` is the number of hosts from which heartbeats arrive;
 * the surplus over one token is reserved for the silent hosts. A heartbeat carries the number of requests
 * admitted since the sender's start. The first heartbeat after a silence settles the reserved tokens
 * against the requests that the sender admitted meanwhile.
 *
 * Assumptions: heartbeats may be lost. The network is partitioned into two parts and heals, at most twice.
 *
 * What must hold: all requests admitted together stay within burst and rate, except for those admitted
 * while a heartbeat is in flight. Levels are counted in sixths of a token.
 */
#define HOSTS 3
#define UNIT 6
#ifndef BURST
#define BURST 24  /* four tokens */
#endif
#ifndef TICKS
#define TICKS 0  /* tokens that are added during the run */
#endif
#define MAX_LOST 0  /* heartbeats that may be lost */
/* requests, one per host, that may be admitted and not yet reported to the others */
#define SLACK 3

short level[HOSTS] = BURST;
byte admitted[HOSTS];
byte known_count[9];       /* known_count[i * HOSTS + j]: the count of j that i knows */
short reserved[HOSTS];     /* tokens reserved for each silent host since the start */
short reserved_before[9];  /* at i * HOSTS + j: reserved[i] when j became silent */
bool silent[9];            /* at i * HOSTS + j: i received no heartbeat of j since a partition */
bool unreported[HOSTS];    /* has admitted a request since its last heartbeat */
byte ticks = 0, lost = 0, changes = 0, total = 0;
bool partitioned = false;  /* host 2 is cut off from the others */

inline check_reachable(to, from) { reachable = (to == from || !partitioned || (to != 2 && from != 2)) }

/* the number of hosts that are alive for host `at`, itself included */
inline count_alive(at) {
  alive = 1; k = 0;
  do
  :: k < HOSTS -> if :: k != at && !silent[at * HOSTS + k] -> alive++ :: else fi; k++
  :: else -> break
  od
}

inline charge(here, requests) {
  count_alive(here);
  /* Mutant: requests that other hosts report cost one token only, so what silent hosts may
     admit at the same time stays uncharged. */
#ifdef MUTANT_REMOTE_REQUESTS_UNSCALED
  if
  :: requests > 0 && !is_own -> level[here] = level[here] - requests * UNIT
  :: else -> level[here] = level[here] - requests * UNIT * HOSTS / alive
  fi;
#else
  level[here] = level[here] - requests * UNIT * HOSTS / alive;
#endif
  if :: alive < HOSTS -> reserved[here] = reserved[here] + requests * UNIT / alive :: else fi
}

/* host `to` receives a heartbeat of host `from` */
inline receive_heartbeat(to, from) {
  newly_admitted = admitted[from] - known_count[to * HOSTS + from];
  known_count[to * HOSTS + from] = admitted[from];
  if
  :: silent[to * HOSTS + from] ->
       silent[to * HOSTS + from] = false;
       /* Mutant: the first heartbeat after a silence settles nothing, so the requests that its
          sender admitted while it was silent are never charged. */
#ifdef MUTANT_NO_SETTLEMENT_AFTER_SILENCE
       skip
#else
       level[to] = level[to] + reserved[to] - reserved_before[to * HOSTS + from] -
         newly_admitted * UNIT;
       if :: level[to] > BURST -> level[to] = BURST :: else fi
#endif
  :: else -> is_own = false; charge(to, newly_admitted)
  fi
}

active proctype system() {
  byte i, j, k, alive;
  byte newly_admitted;
  bool reachable, is_own;
  do
  /* a request is admitted */
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 fi;
       count_alive(i);
       if
       :: !unreported[i] && level[i] * alive >= UNIT * HOSTS ->
            is_own = true; charge(i, 1); admitted[i]++; total++; unreported[i] = true;
            assert(total * UNIT <= BURST + ticks * UNIT + SLACK * UNIT)
       :: else
       fi
     }
  /* a heartbeat to all reachable hosts; it may be lost on its way to one of them */
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 fi;
       unreported[i] = false;
       j = 0;
       do
       :: j < HOSTS ->
            check_reachable(j, i);
            if
            :: j != i && reachable -> receive_heartbeat(j, i)
            :: j != i && reachable && lost < MAX_LOST -> lost++
            :: else
            fi;
            j++
       :: else -> break
       od;
       j = 0
     }
  /* time passes */
  :: atomic { ticks < TICKS ->
       ticks++;
       i = 0;
       do
       :: i < HOSTS -> level[i] = (level[i] + UNIT > BURST -> BURST : level[i] + UNIT); i++
       :: else -> break
       od;
       i = 0
     }
  /* host 2 is cut off, and all hosts detect it */
  :: atomic { !partitioned && changes < 3 ->
       partitioned = true; changes++;
       i = 0;
       do
       :: i < 2 ->
            if :: !silent[i * HOSTS + 2] -> reserved_before[i * HOSTS + 2] = reserved[i] :: else fi;
            if :: !silent[6 + i] -> reserved_before[6 + i] = reserved[2] :: else fi;
            silent[i * HOSTS + 2] = true; silent[6 + i] = true;
            /* Mutant: the hosts do not detect the partition, so each part spends the whole
               bucket. */
#ifdef MUTANT_PARTITION_UNDETECTED
            silent[i * HOSTS + 2] = false; silent[6 + i] = false;
#endif
            i++
       :: else -> break
       od;
       i = 0
     }
  /* the partition heals; hosts learn of it from the next heartbeats */
  :: atomic { partitioned -> partitioned = false; changes++ }
  od
}
