/*
 * Two jobs of one team, one of them handed in at two hosts, with room for one of them.
 *
 * A call writes the job's row on two conditions: the row does not exist, and the team's gate has the
 * version that the host knows; the write moves the gate. Answers get lost, and such a write lands
 * later or never. Hosts know rows and gate as of some earlier moment, and crash.
 *
 * What must hold: a call that was refused with a promise has no row, now or later; a job that was
 * answered as accepted has a row; what waits never exceeds the room.
 */
#define CALLS 3     /* job c/2 at host c%2 */
#define LIMIT 1

mtype = { IDLE, DECIDE, WRITE, READ, ACCEPTED, FULL, UNAVAILABLE, OPEN, NOBODY };

/* the table: who wrote the row of a job (0: nobody), whether it still waits, the gate's version */
byte owner[2];
bool waits[2];
byte gate = 1;

/* what each host knows of it */
typedef View { byte owner[2]; bool waits[2]; byte gate };
View view[2];

/* `version`: the gate's version as it was when there was room */
typedef Call { mtype step; bool fresh; bool unsettled; bool unknown; byte version };
Call call[CALLS];

/* a write of each call on its way: the gate's version that it asks for (0: none) */
byte flight[CALLS];

inline refresh(h) {
  view[h].owner[0] = owner[0]; view[h].owner[1] = owner[1];
  view[h].waits[0] = waits[0]; view[h].waits[1] = waits[1];
  view[h].gate = gate
}

/* a write lands; sets `took` */
inline land(c, asked) {
  took = false;
  if
#ifdef MUTANT_NO_GATE
  :: owner[c / 2] == 0 ->
#else
  :: owner[c / 2] == 0 && gate == asked ->
#endif
       owner[c / 2] = c + 1; waits[c / 2] = true; gate++; took = true;
       assert(call[c].step != FULL && call[c].step != UNAVAILABLE);
       assert(waits[0] + waits[1] <= LIMIT)
  :: else
  fi
}

inline give_up(c, refusal) {
  if
#ifdef MUTANT_PROMISE_WHILE_UNSETTLED
  :: false -> skip
#else
  :: call[c].unsettled -> call[c].step = OPEN
#endif
  :: else ->
       call[c].step = refusal;
       assert(owner[c / 2] != c + 1)
  fi
}

inline decide(c, h) {
  if
  :: view[h].owner[c / 2] != 0 && view[h].owner[c / 2] != c + 1 ->
       call[c].step = ACCEPTED; assert(owner[c / 2] != 0)
#ifndef MUTANT_OWN_ROW_COUNTS
  :: view[h].owner[c / 2] == c + 1 ->
       call[c].step = ACCEPTED; assert(owner[c / 2] != 0)
#endif
  :: else ->
       if
       /* the time is up */
       :: true -> give_up(c, UNAVAILABLE)
       :: view[h].waits[0] + view[h].waits[1] + 1 <= LIMIT ->
            call[c].version = view[h].gate; call[c].step = WRITE
       :: view[h].waits[0] + view[h].waits[1] + 1 > LIMIT ->
            if
            :: call[c].fresh -> give_up(c, FULL)
            :: !call[c].fresh -> refresh(h); call[c].fresh = true
            :: !call[c].fresh -> give_up(c, UNAVAILABLE)
            fi
       fi
  fi
}

active proctype system() {
  byte c, h;
  bool took;
  view[0].gate = 1; view[1].gate = 1;
  call[0].step = IDLE; call[1].step = IDLE; call[2].step = IDLE;
  do
  :: atomic {
       if :: c = 0 :: c = 1 :: c = 2 fi;
       h = c % 2;
       if
       :: call[c].step == IDLE -> call[c].step = DECIDE
       :: call[c].step == DECIDE -> decide(c, h)
       /* the write lands and is answered */
       :: call[c].step == WRITE ->
#ifdef MUTANT_GATE_READ_AFTER_ROOM
            call[c].version = view[h].gate;
#endif
            land(c, call[c].version);
            if
            :: took ->
                 view[h].owner[c / 2] = c + 1; view[h].waits[c / 2] = true; view[h].gate = gate;
                 call[c].fresh = true; call[c].step = DECIDE
            :: else -> call[c].unknown = false; call[c].step = READ
            fi
       /* it surely had no effect */
       :: call[c].step == WRITE -> call[c].fresh = false; call[c].step = DECIDE
       /* its answer is lost */
       :: call[c].step == WRITE && flight[c] == 0 ->
            flight[c] = call[c].version;
            call[c].unknown = true; call[c].step = READ
       /* reads the table after the write */
       :: call[c].step == READ ->
            refresh(h); call[c].fresh = !call[c].unknown;
            call[c].unsettled = call[c].unsettled || call[c].unknown; call[c].step = DECIDE
       :: call[c].step == READ ->
            call[c].fresh = false;
            call[c].unsettled = call[c].unsettled || call[c].unknown; call[c].step = DECIDE
       :: else
       fi
     }
  /* a write on its way lands, or never does */
  :: atomic {
       if :: c = 0 :: c = 1 :: c = 2 fi;
       if
       :: flight[c] != 0 -> land(c, flight[c]); flight[c] = 0
       :: flight[c] != 0 -> flight[c] = 0
       :: else
       fi
     }
  /* the watch brings what the table has */
  :: atomic { refresh(0) }
  :: atomic { refresh(1) }
  /* all items of the first job are finished */
  :: atomic { owner[0] != 0 && waits[0] -> waits[0] = false }
  /* a host crashes: its calls end without an answer, and it knows nothing */
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       c = h;
       do
       :: c < CALLS ->
            if
            :: call[c].step == DECIDE || call[c].step == WRITE || call[c].step == READ ->
                 call[c].step = NOBODY; call[c].version = 0; call[c].unknown = false;
                 call[c].fresh = false; call[c].unsettled = false
            :: else
            fi;
            c = c + 2
       :: else -> break
       od;
       c = 0
     }
  od
}
