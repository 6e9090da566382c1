/*
 * Checks leases and commits of one chunk of one job that two hosts work on.
 *
 * A host leases the chunk under the next fencing number, runs its items, writes a segment named by that
 * number, and commits on two conditions: the chunk's row has the version that the host knows, and the job
 * is open.
 *
 * Assumptions: a host may at any time consider the other one dead, rightly or wrongly, and take the chunk
 * over. Writes are applied late or lose their answers. Hosts crash and lose their memory; a paused host
 * takes no step. The caller may retry the creation of the job, and cancel the job, also while it is being
 * created.
 *
 * What must hold: at most one commit takes effect, and none after the job was cancelled; all items of the
 * committed segment were run; a retried creation yields the same job.
 */
#define MAX_FENCE 3

mtype = { FREE, LEASED, DONE };

/* the rows of the job and of the chunk */
bool created = false, open = false, cancelled = false;
mtype state = FREE;
byte holder = 2, fence = 0, version = 0, segment = 0;

byte commits = 0;
bool committed_after_cancel = false;
bool committed_incomplete = false;
byte submissions = 0;

typedef Worker {
  byte fence;      /* of the lease that it holds; 0: none */
  byte version;    /* of the row as this host knows it */
  bool items_run;  /* all items were run under this lease */
};
Worker worker[2];
bool segment_written[MAX_FENCE + 1];  /* by fencing number */

/* the write of each host that is in flight */
typedef Write { bool in_flight; bool commit; byte version; byte fence; };
Write writes[2];

inline apply_write(i) {
  if
  :: !writes[i].commit && writes[i].version == version && state != DONE ->
       state = LEASED; holder = i; fence = writes[i].fence; version++
  /* Mutant: a commit checks neither the row's version nor the fencing number, so a former
     holder commits too. */
#ifdef MUTANT_UNCONDITIONAL_COMMIT
  :: writes[i].commit &&
#else
  :: writes[i].commit && writes[i].version == version && state == LEASED && fence == writes[i].fence &&
#endif
     /* Mutant: a commit does not require that the job is open, so it takes effect after a
        cancellation. */
#ifdef MUTANT_COMMIT_TO_CLOSED_JOB
     true ->
#else
     open ->
#endif
       state = DONE; segment = writes[i].fence; version++; commits++;
       if :: cancelled -> committed_after_cancel = true :: else fi;
       if :: !segment_written[segment] -> committed_incomplete = true :: else fi
  :: else
  fi;
  writes[i].in_flight = false
}

active proctype system() {
  byte i;
  do
  /* the caller creates the job, and may retry */
  :: atomic { submissions < 2 ->
       submissions++;
       /* Mutant: a retried creation resets the job, so a cancelled job is open again and a chunk may be
          committed twice. */
#ifdef MUTANT_RETRY_CREATES_NEW_JOB
       if :: true -> created = true; open = true; state = FREE; version++ fi
#else
       if :: !created -> created = true; open = true :: else fi
#endif
     }
  /* the caller cancels the job: one write closes it */
  :: atomic { created && open && state != DONE -> open = false; cancelled = true }
  /* a job whose chunk is done is closed */
  :: atomic { created && open && state == DONE -> open = false }
  :: atomic {
       if :: i = 0 :: i = 1 fi;
       if
       /* leases the chunk: it is free, its holder seems dead, or the row names this host, which does
          not hold the lease any more */
       :: open && !writes[i].in_flight && worker[i].fence == 0 && state != DONE && fence < MAX_FENCE ->
            writes[i].in_flight = true; writes[i].commit = false; writes[i].version = version;
            writes[i].fence = fence + 1
       /* reads the row, which names this host as the holder of a newer lease */
       :: state == LEASED && holder == i && worker[i].fence == 0 && !writes[i].in_flight ->
            worker[i].fence = fence; worker[i].version = version; worker[i].items_run = false
       /* runs the items and writes the segment */
       :: worker[i].fence > 0 && !worker[i].items_run ->
            worker[i].items_run = true; segment_written[worker[i].fence] = true
       /* commits */
       /* Mutant: a host commits before it has run the items and written the segment. */
#ifdef MUTANT_COMMIT_BEFORE_SEGMENT
       :: worker[i].fence > 0 && !writes[i].in_flight ->
#else
       :: worker[i].fence > 0 && worker[i].items_run && !writes[i].in_flight ->
#endif
            writes[i].in_flight = true; writes[i].commit = true; writes[i].version = worker[i].version;
            writes[i].fence = worker[i].fence
       /* finds that the lease is lost, the chunk done or the job closed */
       :: worker[i].fence > 0 && (fence != worker[i].fence || state == DONE || !open) ->
            worker[i].fence = 0; worker[i].items_run = false
       /* crashes and loses its memory; its write may still be applied */
       :: true -> worker[i].fence = 0; worker[i].items_run = false
       :: else
       fi
     }
  :: atomic { writes[0].in_flight -> apply_write(0) }
  :: atomic { writes[1].in_flight -> apply_write(1) }
  :: atomic { writes[0].in_flight -> writes[0].in_flight = false }
  :: atomic { writes[1].in_flight -> writes[1].in_flight = false }
  :: atomic { (commits > 1 || committed_after_cancel || committed_incomplete) ->
       assert(commits <= 1 && !committed_after_cancel && !committed_incomplete) }
  od
}
