/*
 * Checks that hosts which start at the same time come to know each other, and that none admits requests of
 * a limited team as if it were the only host.
 *
 * Each host writes its row to the table of hosts, and reads all rows once the write was acknowledged. If the
 * acknowledgement takes too long, it reads before, and again after it. It sends a join request to each host
 * that it reads; the receiver then knows the sender. A host admits requests once it has read the table after
 * the acknowledgement. (It also does once it receives heartbeats of another host, which lists those that it
 * knows; that way is not modelled.)
 *
 * Assumptions: the store serializes reads and writes. Join requests arrive at some time: heartbeats to known
 * hosts repeat them. The acknowledgement of a write may be late; the write took effect before.
 *
 * What must hold: of any two hosts that admit requests, one knows the other. So both know each other once
 * its join request arrives.
 */
#define HOSTS 3

bool written[HOSTS];
bool acknowledged[HOSTS];
bool knows[9];  /* knows[i * HOSTS + j]: host i knows host j */
bool admits[HOSTS];

inline read_table(me) {
  j = 0;
  do
  :: j < HOSTS -> if :: j != me && written[j] -> knows[me * HOSTS + j] = true :: else fi; j++
  :: else -> break
  od
}

inline check_pairs() {
  j = 0;
  do
  :: j < HOSTS ->
       assert(j == me || !admits[j] || knows[me * HOSTS + j] || knows[j * HOSTS + me]);
       j++
  :: else -> break
  od
}

active [HOSTS] proctype host() {
  byte me = _pid, j;
  do
  :: atomic { !written[me] -> written[me] = true }
  :: atomic { written[me] && !acknowledged[me] -> acknowledged[me] = true }
  /* Mutant: a read before the acknowledgement counts. Hosts that all read before any of them was listed
     know nobody, and each admits the whole rate. */
#ifdef MUTANT_READ_BEFORE_ANNOUNCEMENT_COUNTS
  :: atomic { !admits[me] -> read_table(me); admits[me] = true; check_pairs() }
#else
  :: atomic { !acknowledged[me] -> read_table(me) }
#endif
  :: atomic { acknowledged[me] && !admits[me] -> read_table(me); admits[me] = true; check_pairs() }
  /* a join request or heartbeat arrives at a host that the sender knows */
  :: atomic {
       if :: j = 0 :: j = 1 :: j = 2 fi;
       if
       :: j != me && knows[me * HOSTS + j] -> knows[j * HOSTS + me] = true
       :: else
       fi
     }
  od
}
