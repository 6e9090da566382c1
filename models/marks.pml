/*
 * Start marks of one request that may not be repeated, sent again through two hosts.
 *
 * A host writes the mark on the condition that none stands there, or that the one there says "not
 * run" and has the version it read. Only a host that knows that its own mark stands gives the request
 * to a target. Where the target surely did not run it, the host writes that end, on the condition
 * that its mark still stands. Writes land late, more than once, or lose their answers; hosts crash at
 * any step and forget.
 *
 * What must hold: the request runs at most once.
 */
#define WRITERS 4
#define MAXVERSION 6

typedef Writer {
  byte step;       /* 0 idle, 1 mark sent, 2 mark known to stand, 3 given to a target, 4 over */
  byte version;    /* that its mark has */
};
Writer p[WRITERS];   /* each is one run of one host with one copy of the request */

/* the row */
byte mark = 255;     /* whose mark stands; 255: none */
bool notrun = false;
byte version = 0;

byte runs = 0;

/* writes on their way */
typedef Write { bool flying; bool end; byte version; };
Write f[WRITERS];

inline land(i) {
  if
  :: !f[i].end && f[i].version == version && version < MAXVERSION ->
       mark = i; notrun = false; version++
#ifdef MUTANT_UNCONDITIONAL_END
  :: f[i].end && version < MAXVERSION -> mark = i; notrun = true; version++
#else
  :: f[i].end && f[i].version == version && version < MAXVERSION -> notrun = true; version++
#endif
  :: else
  fi;
  /* it may arrive again */
  if :: true -> f[i].flying = false :: true fi
}

active proctype system() {
  byte i;
  do
  :: atomic {
       if :: i = 0 :: i = 1 :: i = 2 :: i = 3 fi;
       if
       /* reads that it is the first, or that the earlier one did not run, and sends its mark */
       :: p[i].step == 0 && (mark == 255 || notrun) ->
            p[i].step = 1; f[i].flying = true; f[i].end = false; f[i].version = version
       /* hears or reads back that its mark stands */
       :: p[i].step == 1 && mark == i && !notrun -> p[i].step = 2; p[i].version = version
#ifdef MUTANT_RUN_ON_UNKNOWN
       /* takes a write without an answer for done */
       :: p[i].step == 1 -> p[i].step = 2; p[i].version = version
#endif
       /* gives the request to a target */
       :: p[i].step == 2 -> p[i].step = 3; runs++
       /* no target took it: not run, and says so */
       :: p[i].step == 2 ->
            p[i].step = 4; f[i].flying = true; f[i].end = true; f[i].version = p[i].version
#ifdef MUTANT_CALLS_SENT_NOT_RUN
       :: p[i].step == 3 ->
            p[i].step = 4; f[i].flying = true; f[i].end = true; f[i].version = p[i].version
#endif
       /* crashes */
       :: p[i].step > 0 -> p[i].step = 4
       :: else
       fi
     }
  :: atomic { f[0].flying -> land(0) }
  :: atomic { f[1].flying -> land(1) }
  :: atomic { f[2].flying -> land(2) }
  :: atomic { f[3].flying -> land(3) }
  :: atomic { f[0].flying -> f[0].flying = false }
  :: atomic { f[1].flying -> f[1].flying = false }
  :: atomic { f[2].flying -> f[2].flying = false }
  :: atomic { f[3].flying -> f[3].flying = false }
  :: atomic { runs > 1 -> assert(runs <= 1) }
  od
}
