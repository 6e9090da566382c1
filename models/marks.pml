/*
 * Checks the start marks of one request that may not be repeated and that the caller retries through two
 * hosts.
 *
 * A host writes its mark on the condition that there is none, or that the present one says "not run" and
 * has the version that the host read. Only a host that knows that its own mark is in the row sends the
 * request to a target. If the target definitely did not run the request, the host marks it "not run", on
 * the condition that its own mark is still in the row.
 *
 * Assumptions: writes are applied late or more than once, or lose their answers. Hosts crash at any step
 * and lose their memory.
 *
 * What must hold: the request runs at most once.
 */
#define WRITERS 4
#define MAX_VERSION 6

typedef Writer {
  byte step;     /* 0 idle, 1 mark sent, 2 mark known to be in the row, 3 sent to a target,
                    4 finished */
  byte version;  /* of the row with its mark */
};
Writer writer[WRITERS];   /* each is one incarnation of a host with one copy of the request */

/* the row */
byte mark_writer = 255;  /* whose mark is in the row; 255: none */
bool not_run = false;
byte version = 0;

byte runs = 0;

/* writes in flight; `is_not_run`: marks the request "not run" */
typedef Write { bool in_flight; bool is_not_run; byte version; };
Write writes[WRITERS];

inline apply_write(i) {
  if
  :: !writes[i].is_not_run && writes[i].version == version && version < MAX_VERSION ->
       mark_writer = i; not_run = false; version++
  /* Mutant: "not run" is written although another host's mark may be in the row by now, so a
     request that is running may be run again. */
#ifdef MUTANT_UNCONDITIONAL_NOT_RUN
  :: writes[i].is_not_run && version < MAX_VERSION -> mark_writer = i; not_run = true; version++
#else
  :: writes[i].is_not_run && writes[i].version == version && version < MAX_VERSION ->
       not_run = true; version++
#endif
  :: else
  fi;
  /* the write may arrive again */
  if :: true -> writes[i].in_flight = false :: true fi
}

active proctype system() {
  byte i;
  do
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 :: i = 3 fi;
       if
       /* reads that there is no mark, or that the earlier attempt did not run, and sends its mark */
       :: writer[i].step == 0 && (mark_writer == 255 || not_run) ->
            writer[i].step = 1; writes[i].in_flight = true; writes[i].is_not_run = false;
            writes[i].version = version
       /* receives the answer, or reads back, that its mark is in the row */
       :: writer[i].step == 1 && mark_writer == i && !not_run ->
            writer[i].step = 2; writer[i].version = version
       /* Mutant: the host runs the request although the outcome of its own mark's write is
          unknown. */
#ifdef MUTANT_RUN_ON_UNKNOWN_OUTCOME
       /* treats a write without an answer as applied */
       :: writer[i].step == 1 -> writer[i].step = 2; writer[i].version = version
#endif
       /* sends the request to a target */
       :: writer[i].step == 2 -> writer[i].step = 3; runs++
       /* no target accepted the request: marks it "not run" */
       :: writer[i].step == 2 ->
            writer[i].step = 4; writes[i].in_flight = true; writes[i].is_not_run = true;
            writes[i].version = writer[i].version
       /* Mutant: the host marks a request "not run" that it has already sent to a target. */
#ifdef MUTANT_SENT_REQUEST_MARKED_NOT_RUN
       :: writer[i].step == 3 ->
            writer[i].step = 4; writes[i].in_flight = true; writes[i].is_not_run = true;
            writes[i].version = writer[i].version
#endif
       /* crashes */
       :: writer[i].step > 0 -> writer[i].step = 4
       :: else
       fi
     }
  :: atomic { writes[0].in_flight -> apply_write(0) }
  :: atomic { writes[1].in_flight -> apply_write(1) }
  :: atomic { writes[2].in_flight -> apply_write(2) }
  :: atomic { writes[3].in_flight -> apply_write(3) }
  :: atomic { writes[0].in_flight -> writes[0].in_flight = false }
  :: atomic { writes[1].in_flight -> writes[1].in_flight = false }
  :: atomic { writes[2].in_flight -> writes[2].in_flight = false }
  :: atomic { writes[3].in_flight -> writes[3].in_flight = false }
  :: atomic { runs > 1 -> assert(runs <= 1) }
  od
}
