/*
 * Checks how a team's jobs are accepted: two jobs of one team, one of them submitted to two hosts, and
 * capacity for one waiting job.
 *
 * A call writes the job's row on two conditions: the row does not exist, and the team's acceptance lock
 * row has the version that the host knows. The write also increments that version.
 *
 * Assumptions: the answer to a write can be lost; the write is then applied later or never. A host's view
 * of the job rows and of the lock row can be out of date. Hosts crash.
 *
 * What must hold: a call that was definitely refused (FULL or UNAVAILABLE) has no row, now or later; a job
 * that was reported as accepted has a row; the number of waiting jobs never exceeds the capacity.
 */
#define CALLS 3  /* call c submits job c/2 to host c%2 */
#define CAPACITY 1

mtype = { IDLE, DECIDE, WRITE, READ, ACCEPTED, FULL, UNAVAILABLE, OUTCOME_UNKNOWN, ABANDONED };

/* the table: the call that wrote each job's row, plus one (0: no row); whether the job is still
   waiting; the version of the acceptance lock row */
byte writer[2];
bool waiting[2];
byte lock_version = 1;

/* each host's view of the table */
typedef View { byte writer[2]; bool waiting[2]; byte lock_version };
View view[2];

typedef Call {
  mtype step;
  bool is_current;       /* the host's view is as new as the call's last write or read */
  bool outcome_unknown;  /* a write of the call may still be applied */
  bool unanswered;       /* the last write was not answered */
  byte expected_version  /* the lock row's version in the view that showed free capacity */
};
Call call[CALLS];

/* the write of each call that was sent and not answered: the lock version it expects (0: none) */
byte in_flight[CALLS];

inline refresh(h) {
  view[h].writer[0] = writer[0]; view[h].writer[1] = writer[1];
  view[h].waiting[0] = waiting[0]; view[h].waiting[1] = waiting[1];
  view[h].lock_version = lock_version
}

/* applies a write if its conditions hold; sets `applied` */
inline apply_write(c, required) {
  applied = false;
  if
  /* Mutant: the write does not compare the lock version, so two hosts that both see free
     capacity both accept. */
#ifdef MUTANT_NO_LOCK
  :: writer[c / 2] == 0 ->
#else
  :: writer[c / 2] == 0 && lock_version == required ->
#endif
       writer[c / 2] = c + 1; waiting[c / 2] = true; lock_version++; applied = true;
       assert(call[c].step != FULL && call[c].step != UNAVAILABLE);
       assert(waiting[0] + waiting[1] <= CAPACITY)
  :: else
  fi
}

inline refuse(c, refusal) {
  if
  /* Mutant: the call is definitely refused although an earlier write of it may still be
     applied. */
#ifdef MUTANT_REFUSAL_WHILE_OUTCOME_UNKNOWN
  :: false -> skip
#else
  :: call[c].outcome_unknown -> call[c].step = OUTCOME_UNKNOWN
#endif
  :: else ->
       call[c].step = refusal;
       assert(writer[c / 2] != c + 1)
  fi
}

inline decide(c, h) {
  if
  :: view[h].writer[c / 2] != 0 && view[h].writer[c / 2] != c + 1 ->
       call[c].step = ACCEPTED; assert(writer[c / 2] != 0)
  /* Mutant: the call does not recognize a row that it wrote itself, counts it as a waiting
     job, and refuses a job that was accepted. */
#ifndef MUTANT_OWN_ROW_NOT_RECOGNIZED
  :: view[h].writer[c / 2] == c + 1 ->
       call[c].step = ACCEPTED; assert(writer[c / 2] != 0)
#endif
  :: else ->
       if
       /* the call's deadline has passed */
       :: true -> refuse(c, UNAVAILABLE)
       :: view[h].waiting[0] + view[h].waiting[1] + 1 <= CAPACITY ->
            call[c].expected_version = view[h].lock_version; call[c].step = WRITE
       :: view[h].waiting[0] + view[h].waiting[1] + 1 > CAPACITY ->
            if
            :: call[c].is_current -> refuse(c, FULL)
            :: !call[c].is_current -> refresh(h); call[c].is_current = true
            :: !call[c].is_current -> refuse(c, UNAVAILABLE)
            fi
       fi
  fi
}

active proctype system() {
  byte c, h;
  bool applied;
  view[0].lock_version = 1; view[1].lock_version = 1;
  call[0].step = IDLE; call[1].step = IDLE; call[2].step = IDLE;
  do
  :: atomic {
       if :: c = 0 :: c = 1 :: c = 2 fi;
       h = c % 2;
       if
       :: call[c].step == IDLE -> call[c].step = DECIDE
       :: call[c].step == DECIDE -> decide(c, h)
       /* the write is applied or rejected, and answered */
       :: call[c].step == WRITE ->
            /* Mutant: the lock version is read after the capacity check, so a job accepted
               between the two goes unnoticed. */
#ifdef MUTANT_LOCK_READ_AFTER_CAPACITY_CHECK
            call[c].expected_version = view[h].lock_version;
#endif
            apply_write(c, call[c].expected_version);
            if
            :: applied ->
                 view[h].writer[c / 2] = c + 1; view[h].waiting[c / 2] = true;
                 view[h].lock_version = lock_version;
                 call[c].is_current = true; call[c].step = DECIDE
            :: else -> call[c].unanswered = false; call[c].step = READ
            fi
       /* the write is known to have had no effect */
       :: call[c].step == WRITE -> call[c].is_current = false; call[c].step = DECIDE
       /* the answer is lost */
       :: call[c].step == WRITE && in_flight[c] == 0 ->
            in_flight[c] = call[c].expected_version;
            call[c].unanswered = true; call[c].step = READ
       /* reads the table after the write, or fails to */
       :: call[c].step == READ ->
            refresh(h); call[c].is_current = !call[c].unanswered;
            call[c].outcome_unknown = call[c].outcome_unknown || call[c].unanswered;
            call[c].step = DECIDE
       :: call[c].step == READ ->
            call[c].is_current = false;
            call[c].outcome_unknown = call[c].outcome_unknown || call[c].unanswered;
            call[c].step = DECIDE
       :: else
       fi
     }
  /* an unanswered write is applied, or lost */
  :: atomic {
       if :: c = 0 :: c = 1 :: c = 2 fi;
       if
       :: in_flight[c] != 0 -> apply_write(c, in_flight[c]); in_flight[c] = 0
       :: in_flight[c] != 0 -> in_flight[c] = 0
       :: else
       fi
     }
  /* the watch updates a host's view */
  :: atomic { refresh(0) }
  :: atomic { refresh(1) }
  /* all items of the first job are finished */
  :: atomic { writer[0] != 0 && waiting[0] -> waiting[0] = false }
  /* a host crashes: its calls end without an answer, and their state is lost */
  :: atomic {
       if :: h = 0 :: h = 1 fi;
       c = h;
       do
       :: c < CALLS ->
            if
            :: call[c].step == DECIDE || call[c].step == WRITE || call[c].step == READ ->
                 call[c].step = ABANDONED; call[c].expected_version = 0; call[c].unanswered = false;
                 call[c].is_current = false; call[c].outcome_unknown = false
            :: else
            fi;
            c = c + 2
       :: else -> break
       od;
       c = 0
     }
  od
}
