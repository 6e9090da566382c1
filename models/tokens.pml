/*
 * Rights and tokens of one shard of one team, on two hosts.
 *
 * The row of the table names the run that owns the shard. That run spends the shard's tokens, lends
 * some to the other host, and may give the shard away: it releases it, writes the row, and sends what
 * is in the bucket once it has read that the row names the next owner. Writes may land late or lose
 * their answers; messages are lost, late or repeated; hosts crash and start as new runs; they are
 * paused, dropped from the platform's list and taken over, and wake again. A store outage is a write
 * or read that does not happen.
 *
 * What must hold: all spending together conforms to one token bucket of burst B that gains one token
 * a tick. The monitor is that bucket; it never runs dry.
 */
#define B 2
#define TICKS 2
#define MAXEPOCH 3
#define MAXINC 2
#define NOBODY 2
#define VALID 2       /* lent tokens may be spent for so many ticks, the one of the loan counted */

typedef Host {
  byte inc;          /* this run */
  bool paused;
  bool dropped;      /* gone from the platform's list for longer than its lag, and dead for all */
  byte owner, oinc, epoch;   /* the row as this run knows it */
  bool released;     /* spends none of the shard until it has claimed it anew */
  bool giving;       /* released so as to give it away */
  byte level;
  byte loan, loanuntil;      /* lent to the other host, may be spent there */
  byte stash, stashuntil;    /* borrowed */
  bool inherited;
  bool used;         /* something of it was spent or lent since this run owns the shard */
  byte emptyuntil;           /* a bucket without a handover starts empty, after this tick */
};

Host h[2];
byte now = 0;
byte monitor = B;
bool overdrawn = false;

/* the table's row */
byte rowner = NOBODY, rinc = 0, repoch = 0;

/* one write on its way to the table, with the epoch that it compares */
bool wflying = false;
byte wfrom, wowner, winc;

/* one handover on its way; it stays, and so may arrive again */
bool mflying = false;
byte mto, minc, mepoch, mlevel, mloan, mloanuntil;

#define mine(i) (h[i].owner == i && h[i].oinc == h[i].inc && h[i].epoch > 0 && !h[i].released)
#define awake(i) (!h[i].paused)
#define other(i) (1 - i)

inline learn(i) {
  if
  :: repoch > h[i].epoch ->
       h[i].owner = rowner; h[i].oinc = rinc; h[i].epoch = repoch;
       h[i].released = false; h[i].giving = false; h[i].inherited = false;
       h[i].used = false; h[i].loan = 0;
       if
       :: rowner == i && rinc == h[i].inc && repoch == 1 -> h[i].level = B; h[i].emptyuntil = now
       :: rowner == i && rinc == h[i].inc && repoch > 1 ->
            h[i].level = 0;
#ifdef MUTANT_NO_WAIT_FOR_LOANS
            h[i].emptyuntil = now
#else
            h[i].emptyuntil = now + VALID - 1
#endif
       :: else -> h[i].level = 0; h[i].emptyuntil = now
       fi
  :: else
  fi
}

inline spend_one() {
  if
  :: monitor == 0 -> overdrawn = true
  :: else -> monitor--
  fi
}

/* A write lands, at any time after it was sent, if the row still has the epoch that it compares. */
inline land() {
  if
  :: repoch == wfrom -> rowner = wowner; rinc = winc; repoch = wfrom + 1
  :: else
  fi;
  wflying = false
}

active proctype system() {
  byte i;
  h[0].inc = 1; h[1].inc = 1;
  h[0].owner = NOBODY; h[1].owner = NOBODY;

  do
  :: atomic { /* pick a host for the step */
       if :: i = 0 :: i = 1 fi;
       if
       /* start-up and takeover: nobody owns the shard, or its owner is surely dead */
       :: awake(i) && !wflying && repoch < MAXEPOCH && h[i].epoch == repoch &&
          (h[i].epoch == 0 || (h[i].owner == i && h[i].oinc < h[i].inc) ||
           (h[i].owner == other(i) &&
#ifdef MUTANT_SUSPICION_MOVES
            (h[other(i)].paused || h[other(i)].inc > h[i].oinc)
#else
            (h[other(i)].dropped || h[other(i)].inc > h[i].oinc)
#endif
            )) ->
            wflying = true; wfrom = h[i].epoch; wowner = i; winc = h[i].inc
       /* a run that released its shard and can't tell what became of the write claims it again:
          that write, if it lands, ends the other one */
       :: awake(i) && !wflying && repoch < MAXEPOCH && h[i].released &&
          h[i].owner == i && h[i].oinc == h[i].inc && h[i].epoch == repoch ->
            wflying = true; wfrom = h[i].epoch; wowner = i; winc = h[i].inc
       /* gives the shard away: releases, then writes */
       :: awake(i) && mine(i) && !wflying && repoch < MAXEPOCH ->
            h[i].released = true; h[i].giving = true;
            wflying = true; wfrom = h[i].epoch; wowner = other(i); winc = h[other(i)].inc
       /* reads the row, and sends the handover if the row names the next owner */
       :: awake(i) ->
            if
            :: h[i].giving && repoch == h[i].epoch + 1 && rowner == other(i) &&
               /* not before loans of an owner before it have ended, unless it knows of them */
#ifdef MUTANT_HANDOVER_HIDES_LOANS
               true ->
#else
               (h[i].emptyuntil < now || h[i].epoch == 1 || h[i].inherited) ->
#endif
                 mflying = true; mto = rowner; minc = rinc; mepoch = repoch;
                 mlevel = h[i].level; mloan = h[i].loan; mloanuntil = h[i].loanuntil
#ifdef MUTANT_TAKE_BACK_ON_READ
            :: h[i].released && h[i].owner == i && repoch == h[i].epoch -> h[i].released = false
#endif
            :: else
            fi;
            learn(i)
       /* takes a handover, once for each epoch */
       :: awake(i) && mflying && mto == i && minc == h[i].inc && h[i].epoch == mepoch && mine(i) &&
          !h[i].inherited ->
            h[i].inherited = true;
            if
            /* what this bucket had since then was not in the earlier one: both would be too much */
#ifdef MUTANT_HANDOVER_AFTER_USE
            :: false
#else
            :: h[i].used
#endif
            :: else ->
                 h[i].emptyuntil = now;
                 if
                 :: mloanuntil > now -> h[i].loan = mloan; h[i].loanuntil = mloanuntil
                 :: else
                 fi;
                 h[i].level = (mlevel + h[i].loan > B -> B - h[i].loan : mlevel)
            fi
       /* admits a request on its own tokens */
       :: awake(i) && mine(i) && h[i].level > 0 ->
            h[i].level--; h[i].used = true; spend_one()
       /* admits a request on borrowed tokens */
       :: awake(i) && h[i].stash > 0 && h[i].stashuntil > now ->
            h[i].stash--; spend_one()
       /* lends one: debits first; the answer may be lost */
       :: awake(i) && mine(i) && h[i].level > 0 && h[i].loan < B ->
            h[i].level--; h[i].used = true;
            h[i].loan++; h[i].loanuntil = now + VALID;
            if
            :: awake(other(i)) && (h[other(i)].stash == 0 || h[other(i)].stashuntil <= now) ->
                 h[other(i)].stash = 1; h[other(i)].stashuntil = now + VALID
            :: awake(other(i)) && h[other(i)].stash == 1 && h[other(i)].stashuntil == now + VALID ->
                 h[other(i)].stash = 2
            :: true /* lost */
            fi
       /* crashes, or wakes after it was dropped, and goes on as a new run that owns nothing */
       :: h[i].inc < MAXINC ->
            h[i].inc++; h[i].paused = false; h[i].dropped = false; h[i].giving = false;
            h[i].owner = NOBODY; h[i].oinc = 0; h[i].epoch = 0; h[i].released = false;
            h[i].level = 0; h[i].loan = 0; h[i].stash = 0; h[i].inherited = false; h[i].used = false;
            h[i].emptyuntil = 0
       /* is paused; then dropped, so that the other may claim. One that wakes after that goes on as a
          new run: reading the row would not do, since the other's claim may still be on its way */
       :: awake(i) -> h[i].paused = true
       :: h[i].paused && !h[i].dropped -> h[i].dropped = true
#ifdef MUTANT_WAKES_AS_THE_SAME_RUN
       :: h[i].paused -> h[i].paused = false; h[i].dropped = false
#else
       :: h[i].paused && !h[i].dropped -> h[i].paused = false
#endif
       :: else
       fi
     }
  :: atomic { wflying -> land() }
  :: atomic { wflying -> wflying = false }   /* lost on its way */
  :: atomic { mflying -> mflying = false }   /* lost on its way */
  :: atomic { now < TICKS ->
       now++;
       if :: monitor < B -> monitor++ :: else fi;
       i = 0;
       do
       :: i < 2 ->
            if :: h[i].loanuntil <= now ->
#ifndef MUTANT_NO_LOAN_CAP
                 h[i].loan = 0
#else
                 skip
#endif
            :: else fi;
            if
            :: mine(i) && h[i].emptyuntil < now &&
#ifdef MUTANT_NO_LOAN_CAP
               h[i].level < B ->
#else
               h[i].level + h[i].loan < B ->
#endif
                 h[i].level++
            :: else
            fi;
            if :: h[i].stashuntil <= now -> h[i].stash = 0 :: else fi;
            i++
       :: else -> break
       od
     }
  :: overdrawn -> assert(!overdrawn)
  od
}
