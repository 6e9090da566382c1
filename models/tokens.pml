/*
 * Checks the ownership and the tokens of one shard of one team on two hosts.
 *
 * The table's row names the incarnation that owns the shard. The owner spends the shard's tokens, lends
 * some to the other host, and may hand the shard over: it releases the shard, writes the row, and sends
 * the bucket's content once it has read that the row names the next owner.
 *
 * Assumptions: writes are applied late or lose their answers. Messages are lost, late or repeated. Hosts
 * crash and restart as new incarnations. A host may be paused, be removed from the platform's host list,
 * lose the shard to a takeover, and resume. A store outage is a write or read that does not happen.
 *
 * What must hold: all spending together conforms to one token bucket of burst BURST that gains one token
 * per tick. The monitor is that bucket; a request that finds it empty was admitted above the limit.
 */
#define BURST 2
#define TICKS 2
#define MAX_EPOCH 3
#define MAX_INCARNATION 2
#define NO_OWNER 2
#define LOAN_TTL 2  /* ticks for which lent tokens may be spent, including the tick of the loan */

typedef Host {
  byte incarnation;  /* of the running process */
  bool paused;
  bool removed;                          /* off the platform's host list for longer than its lag:
                                            dead to all hosts */
  byte owner, owner_incarnation, epoch;  /* the row as this incarnation knows it */
  bool released;                         /* spends no token of the shard until it has claimed it again */
  bool handing_over;                     /* released for a handover */
  byte level;
  byte loan, loan_until;      /* lent to the other host, which may still spend it */
  byte cached, cached_until;  /* borrowed tokens in the local token cache */
  bool handover_applied;
  bool used;  /* tokens were spent or lent since this incarnation owns the shard */
  byte empty_until;  /* without a handover the bucket starts empty, and fills after this tick */
};

Host host[2];
byte now = 0;
byte monitor = BURST;
bool overdrawn = false;

/* the table's row */
byte row_owner = NO_OWNER, row_incarnation = 0, row_epoch = 0;

/* a write to the table in flight, with the epoch that it expects */
bool write_in_flight = false;
byte write_expected_epoch, write_owner, write_incarnation;

/* a handover in flight; receiving it does not remove it, so it may arrive again */
bool handover_in_flight = false;
byte handover_to, handover_incarnation, handover_epoch,
  handover_level, handover_loan, handover_loan_until;

#define owns(i) (host[i].owner == i && host[i].owner_incarnation == host[i].incarnation && \
                 host[i].epoch > 0 && !host[i].released)
#define running(i) (!host[i].paused)
#define other(i) (1 - i)

inline apply_row(i) {
  if
  :: row_epoch > host[i].epoch ->
       host[i].owner = row_owner; host[i].owner_incarnation = row_incarnation;
       host[i].epoch = row_epoch; host[i].released = false; host[i].handing_over = false;
       host[i].handover_applied = false; host[i].used = false; host[i].loan = 0;
       if
       :: row_owner == i && row_incarnation == host[i].incarnation && row_epoch == 1 ->
            host[i].level = BURST; host[i].empty_until = now
       :: row_owner == i && row_incarnation == host[i].incarnation && row_epoch > 1 ->
            host[i].level = 0;
            /* Mutant: the bucket of a new owner fills while tokens that the former owner
               lent may still be spent. */
#ifdef MUTANT_NO_WAIT_FOR_LOANS
            host[i].empty_until = now
#else
            host[i].empty_until = now + LOAN_TTL - 1
#endif
       :: else -> host[i].level = 0; host[i].empty_until = now
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

/* Applies a write, at any time after it was sent, if the row still has the epoch that it expects. */
inline apply_write() {
  if
  :: row_epoch == write_expected_epoch ->
       row_owner = write_owner; row_incarnation = write_incarnation;
       row_epoch = write_expected_epoch + 1
  :: else
  fi;
  write_in_flight = false
}

active proctype system() {
  byte i;
  host[0].incarnation = 1; host[1].incarnation = 1;
  host[0].owner = NO_OWNER; host[1].owner = NO_OWNER;

  do
  :: atomic { /* picks a host for the step */
       if :: i = 0 :: i = 1 fi;
       if
       /* start-up and takeover: the shard has no owner, or its owner is known to be dead */
       :: running(i) && !write_in_flight && row_epoch < MAX_EPOCH && host[i].epoch == row_epoch &&
          (host[i].epoch == 0 ||
           (host[i].owner == i && host[i].owner_incarnation < host[i].incarnation) ||
           (host[i].owner == other(i) &&
            /* Mutant: a host that is only paused loses its shard and goes on spending when
               it resumes. */
#ifdef MUTANT_TAKEOVER_BEFORE_REMOVAL
            (host[other(i)].paused || host[other(i)].incarnation > host[i].owner_incarnation)
#else
            (host[other(i)].removed || host[other(i)].incarnation > host[i].owner_incarnation)
#endif
            )) ->
            write_in_flight = true; write_expected_epoch = host[i].epoch; write_owner = i;
            write_incarnation = host[i].incarnation
       /* an owner that released its shard and does not know the outcome of its write claims the shard
          again: of the two writes, the first to be applied makes the other one fail */
       :: running(i) && !write_in_flight && row_epoch < MAX_EPOCH && host[i].released &&
          host[i].owner == i && host[i].owner_incarnation == host[i].incarnation &&
          host[i].epoch == row_epoch ->
            write_in_flight = true; write_expected_epoch = host[i].epoch; write_owner = i;
            write_incarnation = host[i].incarnation
       /* hands the shard over: releases it, then writes the row */
       :: running(i) && owns(i) && !write_in_flight && row_epoch < MAX_EPOCH ->
            host[i].released = true; host[i].handing_over = true;
            write_in_flight = true; write_expected_epoch = host[i].epoch; write_owner = other(i);
            write_incarnation = host[other(i)].incarnation
       /* reads the row, and sends the handover if the row names the next owner */
       :: running(i) ->
            if
            :: host[i].handing_over && row_epoch == host[i].epoch + 1 && row_owner == other(i) &&
               /* not before loans of an earlier owner have expired, unless they are known here */
               /* Mutant: the handover is sent while loans of an earlier owner, which it does
                  not list, may still be spent. */
#ifdef MUTANT_HANDOVER_OMITS_LOANS
               true ->
#else
               (host[i].empty_until < now || host[i].epoch == 1 || host[i].handover_applied) ->
#endif
                 handover_in_flight = true; handover_to = row_owner;
                 handover_incarnation = row_incarnation; handover_epoch = row_epoch;
                 handover_level = host[i].level; handover_loan = host[i].loan;
                 handover_loan_until = host[i].loan_until
            /* Mutant: the owner resumes spending because the row still names it, although
               its own write that gives the shard away may still be applied. */
#ifdef MUTANT_RECLAIM_WITHOUT_WRITE
            :: host[i].released && host[i].owner == i && row_epoch == host[i].epoch ->
                 host[i].released = false
#endif
            :: else
            fi;
            apply_row(i)
       /* applies a handover, once per epoch */
       :: running(i) && handover_in_flight && handover_to == i &&
          handover_incarnation == host[i].incarnation && host[i].epoch == handover_epoch && owns(i) &&
          !host[i].handover_applied ->
            host[i].handover_applied = true;
            if
            /* tokens that this bucket gained since the change of owner were not in the former owner's
               bucket: both together would exceed the limit */
            /* Mutant: the handover is applied although tokens of the new bucket were spent
               or lent already. */
#ifdef MUTANT_HANDOVER_AFTER_USE
            :: false
#else
            :: host[i].used
#endif
            :: else ->
                 host[i].empty_until = now;
                 if
                 :: handover_loan_until > now ->
                      host[i].loan = handover_loan; host[i].loan_until = handover_loan_until
                 :: else
                 fi;
                 host[i].level =
                   (handover_level + host[i].loan > BURST -> BURST - host[i].loan : handover_level)
            fi
       /* admits a request with its own tokens */
       :: running(i) && owns(i) && host[i].level > 0 ->
            host[i].level--; host[i].used = true; spend_one()
       /* admits a request with borrowed tokens */
       :: running(i) && host[i].cached > 0 && host[i].cached_until > now ->
            host[i].cached--; spend_one()
       /* lends a token: debits first; the answer may be lost */
       :: running(i) && owns(i) && host[i].level > 0 && host[i].loan < BURST ->
            host[i].level--; host[i].used = true;
            host[i].loan++; host[i].loan_until = now + LOAN_TTL;
            if
            :: running(other(i)) &&
               (host[other(i)].cached == 0 || host[other(i)].cached_until <= now) ->
                 host[other(i)].cached = 1; host[other(i)].cached_until = now + LOAN_TTL
            :: running(other(i)) && host[other(i)].cached == 1 &&
               host[other(i)].cached_until == now + LOAN_TTL ->
                 host[other(i)].cached = 2
            :: true /* lost */
            fi
       /* crashes, or resumes after its removal, and continues as a new incarnation that owns nothing */
       :: host[i].incarnation < MAX_INCARNATION ->
            host[i].incarnation++; host[i].paused = false; host[i].removed = false;
            host[i].handing_over = false; host[i].owner = NO_OWNER; host[i].owner_incarnation = 0;
            host[i].epoch = 0; host[i].released = false; host[i].level = 0; host[i].loan = 0;
            host[i].cached = 0; host[i].handover_applied = false; host[i].used = false;
            host[i].empty_until = 0
       /* is paused, then removed, so that the other host may claim the shard. A host that resumes after
          its removal continues as a new incarnation: reading the row is not enough, since the other
          host's claim may still be in flight */
       :: running(i) -> host[i].paused = true
       :: host[i].paused && !host[i].removed -> host[i].removed = true
       /* Mutant: a host that was removed resumes with its old incarnation and spends beside
          the new owner. */
#ifdef MUTANT_RESUMES_SAME_INCARNATION
       :: host[i].paused -> host[i].paused = false; host[i].removed = false
#else
       :: host[i].paused && !host[i].removed -> host[i].paused = false
#endif
       :: else
       fi
     }
  :: atomic { write_in_flight -> apply_write() }
  :: atomic { write_in_flight -> write_in_flight = false }   /* lost in transit */
  :: atomic { handover_in_flight -> handover_in_flight = false }   /* lost in transit */
  :: atomic { now < TICKS ->
       now++;
       if :: monitor < BURST -> monitor++ :: else fi;
       i = 0;
       do
       :: i < 2 ->
            if :: host[i].loan_until <= now ->
                 /* Mutant: the bucket fills up to the whole burst while tokens are lent, so
                    level and loans together exceed it. */
#ifndef MUTANT_NO_LOAN_CAP
                 host[i].loan = 0
#else
                 skip
#endif
            :: else fi;
            if
            :: owns(i) && host[i].empty_until < now &&
#ifdef MUTANT_NO_LOAN_CAP
               host[i].level < BURST ->
#else
               host[i].level + host[i].loan < BURST ->
#endif
                 host[i].level++
            :: else
            fi;
            if :: host[i].cached_until <= now -> host[i].cached = 0 :: else fi;
            i++
       :: else -> break
       od
     }
  :: overdrawn -> assert(!overdrawn)
  od
}
