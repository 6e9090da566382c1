/*
 * One chunk of one job, worked on by two hosts.
 *
 * A host leases the chunk under the next fencing number, runs its items, writes a segment named by
 * that number, and commits: on the condition that the row is as it knows it and that the job is open.
 * Any host may at any time hold another for gone and take the chunk over (that judgement may err).
 * Writes land late or lose their answers; hosts crash and forget; a pause is a host that takes no
 * step. The caller may send the job again and cancel it, also while it is being created.
 *
 * What must hold: at most one commit takes effect; none after the job was cancelled; the committed
 * segment is one whose items were all run; a job that was sent again is the same job.
 */
#define MAXFENCE 3

mtype = { FREE, LEASED, DONE };

/* the rows */
bool created = false, open = false, cancelled = false;
mtype state = FREE;
byte holder = 2, fence = 0, version = 0, segment = 0;

byte commits = 0;
bool committed_after_cancel = false;
bool committed_unrun = false;
byte creations = 0;

typedef Worker {
  byte fence;        /* of the lease in hand; 0: none */
  byte version;      /* of the row as this host knows it */
  bool ran;          /* all items of this lease were run */
};
Worker w[2];
bool written[MAXFENCE + 1];   /* segments, by fencing number */

/* one write of each host on its way */
typedef Write { bool flying; bool commit; byte version; byte fence; };
Write f[2];

inline land(i) {
  if
  :: !f[i].commit && f[i].version == version && state != DONE ->
       state = LEASED; holder = i; fence = f[i].fence; version++
#ifdef MUTANT_UNCONDITIONAL_COMMIT
  :: f[i].commit &&
#else
  :: f[i].commit && f[i].version == version && state == LEASED && fence == f[i].fence &&
#endif
#ifdef MUTANT_NO_OPEN_CONDITION
     true ->
#else
     open ->
#endif
       state = DONE; segment = f[i].fence; version++; commits++;
       if :: cancelled -> committed_after_cancel = true :: else fi;
       if :: !written[segment] -> committed_unrun = true :: else fi
  :: else
  fi;
  f[i].flying = false
}

active proctype system() {
  byte i;
  do
  /* the caller sends the job, and perhaps again */
  :: atomic { creations < 2 ->
       creations++;
#ifdef MUTANT_RESEND_IS_NEW
       if :: true -> created = true; open = true; state = FREE; version++ fi
#else
       if :: !created -> created = true; open = true :: else fi
#endif
     }
  /* the caller cancels it: one write closes it */
  :: atomic { created && open && state != DONE -> open = false; cancelled = true }
  /* a job whose chunk is done is closed */
  :: atomic { created && open && state == DONE -> open = false }
  :: atomic {
       if :: i = 0 :: i = 1 fi;
       if
       /* leases: free, or its holder seems gone; also a lease of its own that it does not hold */
       :: open && !f[i].flying && w[i].fence == 0 && state != DONE && fence < MAXFENCE ->
            f[i].flying = true; f[i].commit = false; f[i].version = version; f[i].fence = fence + 1
       /* reads the row: a lease that is its own and newer than what it had */
       :: state == LEASED && holder == i && w[i].fence == 0 && !f[i].flying ->
            w[i].fence = fence; w[i].version = version; w[i].ran = false
       /* runs the items and writes the segment */
       :: w[i].fence > 0 && !w[i].ran -> w[i].ran = true; written[w[i].fence] = true
       /* commits */
#ifdef MUTANT_COMMIT_BEFORE_SEGMENT
       :: w[i].fence > 0 && !f[i].flying ->
#else
       :: w[i].fence > 0 && w[i].ran && !f[i].flying ->
#endif
            f[i].flying = true; f[i].commit = true; f[i].version = w[i].version; f[i].fence = w[i].fence
       /* finds that the lease is lost, the chunk done or the job closed */
       :: w[i].fence > 0 && (fence != w[i].fence || state == DONE || !open) ->
            w[i].fence = 0; w[i].ran = false
       /* crashes and forgets; its write may still land */
       :: true -> w[i].fence = 0; w[i].ran = false
       :: else
       fi
     }
  :: atomic { f[0].flying -> land(0) }
  :: atomic { f[1].flying -> land(1) }
  :: atomic { f[0].flying -> f[0].flying = false }
  :: atomic { f[1].flying -> f[1].flying = false }
  :: atomic { (commits > 1 || committed_after_cancel || committed_unrun) ->
       assert(commits <= 1 && !committed_after_cancel && !committed_unrun) }
  od
}
