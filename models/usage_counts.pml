/*
 * One team's rate over three hosts by counts that they tell each other.
 *
 * Each host has a bucket of the whole fleet. What it admits, and what others of its part tell, costs
 * as many tokens as there are hosts for each one heard; the surplus is kept for hosts that are not.
 * A beat carries the count since the sender's start; beats may be lost. The fleet falls into two
 * parts and heals, at most twice. The first beat after a silence settles what was kept with what
 * was spent.
 *
 * What must hold: what all admit together stays within burst and rate, but for what is admitted
 * while a beat is on its way. Levels are counted in sixths of a token.
 */
#define HOSTS 3
#define UNIT 6
#ifndef BURST
#define BURST 24          /* four tokens */
#endif
#ifndef TICKS
#define TICKS 0           /* tokens that come in while it goes on */
#endif
#define LOST 0            /* beats that may be lost */
/* each host may have admitted one request that others have not heard of */
#define SLACK 3

short level[HOSTS] = BURST;
byte admitted[HOSTS];
byte heard[9];             /* heard[i * HOSTS + j]: the count of j that i knows */
short kept[HOSTS];         /* for each host that is not heard, since the start */
short kept_before[9];      /* kept[i] when j fell silent */
bool silent[9];            /* i has not heard j since a division */
bool untold[HOSTS];        /* has admitted since its last beat */
byte ticks = 0, lost = 0, changes = 0, total = 0;
bool apart = false;        /* host 2 is cut off from the others */

inline hears(to, from) { near = (to == from || !apart || (to != 2 && from != 2)) }

/* how many hosts `at` hears, itself included */
inline count_heard(at) {
  n = 1; k = 0;
  do
  :: k < HOSTS -> if :: k != at && !silent[at * HOSTS + k] -> n++ :: else fi; k++
  :: else -> break
  od
}

inline charge(here, requests) {
  count_heard(here);
#ifdef MUTANT_OTHERS_COST_ONE
  if
  :: requests > 0 && !own -> level[here] = level[here] - requests * UNIT
  :: else -> level[here] = level[here] - requests * UNIT * HOSTS / n
  fi;
#else
  level[here] = level[here] - requests * UNIT * HOSTS / n;
#endif
  if :: n < HOSTS -> kept[here] = kept[here] + requests * UNIT / n :: else fi
}

/* host `to` takes a beat of `from` */
inline take(to, from) {
  spent = admitted[from] - heard[to * HOSTS + from];
  heard[to * HOSTS + from] = admitted[from];
  if
  :: silent[to * HOSTS + from] ->
       silent[to * HOSTS + from] = false;
#ifdef MUTANT_SILENCE_FORGIVES
       skip
#else
       level[to] = level[to] + kept[to] - kept_before[to * HOSTS + from] - spent * UNIT;
       if :: level[to] > BURST -> level[to] = BURST :: else fi
#endif
  :: else -> own = false; charge(to, spent)
  fi
}

active proctype system() {
  byte i, j, k, n;
  byte spent;
  bool near, own;
  do
  /* a request is admitted */
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 fi;
       count_heard(i);
       if
       :: !untold[i] && level[i] * n >= UNIT * HOSTS ->
            own = true; charge(i, 1); admitted[i]++; total++; untold[i] = true;
            assert(total * UNIT <= BURST + ticks * UNIT + SLACK * UNIT)
       :: else
       fi
     }
  /* a beat to all that are reached; it may get lost on the way to one */
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 fi;
       untold[i] = false;
       j = 0;
       do
       :: j < HOSTS ->
            hears(j, i);
            if
            :: j != i && near -> take(j, i)
            :: j != i && near && lost < LOST -> lost++
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
  /* host 2 is cut off, and all notice */
  :: atomic { !apart && changes < 3 ->
       apart = true; changes++;
       i = 0;
       do
       :: i < 2 ->
            if :: !silent[i * HOSTS + 2] -> kept_before[i * HOSTS + 2] = kept[i] :: else fi;
            if :: !silent[6 + i] -> kept_before[6 + i] = kept[2] :: else fi;
            silent[i * HOSTS + 2] = true; silent[6 + i] = true;
#ifdef MUTANT_DIVISION_UNNOTICED
            silent[i * HOSTS + 2] = false; silent[6 + i] = false;
#endif
            i++
       :: else -> break
       od;
       i = 0
     }
  /* the cut heals; the next beats tell */
  :: atomic { apart -> apart = false; changes++ }
  od
}
