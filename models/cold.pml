/*
 * Checks the request rate of one cold target (slow start), granted by the hosts that own its group in turn.
 *
 * Time advances in half seconds. A host that becomes the owner waits two seconds before it grants its
 * share. A host that reaches no owner sends without a grant if rendezvous hashing selects it.
 *
 * Assumptions: the ownership moves from host to host at any time. Hosts that do not know of the move yet
 * send their requests to the former owner for one more second. Hosts that disagree for long may have two
 * owners at once.
 *
 * What must hold: in any second the target receives no more requests than its limit.
 */
#define HOSTS 4
#define OWNER_SHARE 2          /* requests per second that an owner grants */
#define OWNERLESS_SENDERS 1    /* hosts that may send without an owner, one request per second each */
#define TARGET_LIMIT 5         /* requests per second: two owners' shares and those sent without an owner */
#define FORMER_OWNER_WINDOW 2  /* half seconds for which a former owner still receives requests */
#define START_DELAY 4          /* half seconds before a new owner grants */

byte sent[HOSTS], sent_before[HOSTS];  /* in this half second, and in the one before */
/* half seconds since the ownership began, up to START_DELAY */
byte ownership_age[HOSTS] = START_DELAY;
/* half seconds for which a former owner still receives requests */
byte former_owner_left[HOSTS];
byte owner = 0, second_owner = HOSTS;  /* the owner; a second one, for hosts that disagree */
byte sum, h, moves = 0;

inline check() {
  sum = 0; h = 0;
  do
  :: h < HOSTS -> sum = sum + sent[h] + sent_before[h]; h++
  :: else -> break
  od;
  h = 0;
  assert(sum <= TARGET_LIMIT)
}

inline tick() {
  h = 0;
  do
  :: h < HOSTS ->
       sent_before[h] = sent[h]; sent[h] = 0;
       if :: former_owner_left[h] > 0 -> former_owner_left[h]-- :: else fi;
       if
       :: (h == owner || h == second_owner) && ownership_age[h] < START_DELAY -> ownership_age[h]++
       :: else
       fi;
       h++
  :: else -> break
  od;
  h = 0
}

/* moves the ownership from `before` to `next` */
inline move(before, next) {
  former_owner_left[before] = FORMER_OWNER_WINDOW;
  former_owner_left[next] = 0;
  ownership_age[next] = 0;
  /* Mutant: a new owner grants at once, while the former one still does. */
#ifdef MUTANT_NO_START_DELAY
  ownership_age[next] = START_DELAY;
#endif
}

active proctype fleet() {
  byte next;
  do
  :: atomic { tick() }
  /* the ownership moves */
  :: atomic { moves < 3 ->
       if :: next = 1 :: next = 2 fi;
       if
       :: next != owner && next != second_owner -> move(owner, next); owner = next; moves++
       :: else
       fi;
       next = 0
     }
  /* some hosts see another owner than the rest, for an unknown time */
  :: atomic { second_owner == HOSTS && owner != 3 -> second_owner = 3; ownership_age[3] = 0;
#ifdef MUTANT_NO_START_DELAY
       ownership_age[3] = START_DELAY;
#endif
     }
  :: atomic { second_owner == 3 -> second_owner = HOSTS; former_owner_left[3] = FORMER_OWNER_WINDOW }
  /* an owner, or a former one that still receives requests, grants a request */
  :: atomic {
       if :: next = 0 :: next = 1 :: next = 2 :: next = 3 fi;
       if
       :: (next == owner || next == second_owner || former_owner_left[next] > 0) &&
          /* Mutant: a new owner waits one second only. Requests that the former owner granted
             until then fall into the same second. */
#ifdef MUTANT_START_DELAY_OF_ONE_SECOND
          ownership_age[next] >= START_DELAY / 2 &&
#else
          ownership_age[next] >= START_DELAY &&
#endif
          /* Mutant: each owner grants the target's whole limit, so two owners exceed it. */
#ifdef MUTANT_OWNER_GRANTS_WHOLE_LIMIT
          sent[next] + sent_before[next] < TARGET_LIMIT ->
#else
          sent[next] + sent_before[next] < OWNER_SHARE ->
#endif
            sent[next]++; check()
       :: else
       fi;
       next = 0
     }
  /* a host that reaches no owner sends without a grant */
  :: atomic {
       if :: next = 0 :: next = 1 :: next = 2 :: next = 3 fi;
       if
       :: next != owner && next != second_owner && former_owner_left[next] == 0 &&
          /* Mutant: every host that reaches no owner sends, not only the selected ones. */
#ifndef MUTANT_ALL_HOSTS_SEND_WITHOUT_OWNER
          next < OWNERLESS_SENDERS &&
#endif
          sent[next] + sent_before[next] < 1 -> sent[next]++; check()
       :: else
       fi;
       next = 0
     }
  od
}
