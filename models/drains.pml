/*
 * Checks how hosts learn from the store and from each other that a zone is drained or restored.
 *
 * Each drain or restore command has a higher version than the one before. A restarted host knows none; it
 * serves after it has read the store or received a message of another host that knows more.
 *
 * Assumptions: the store answers a read at once or late, with its state at an earlier moment. A message
 * between hosts carries what the sender knew when it sent it; messages are lost, late or repeated. Hosts
 * restart at any time.
 *
 * What must hold: a host never goes from a later command back to an earlier one, and a host that has read
 * the store knows at least what the store answered and drains the zone accordingly.
 */
#define HOSTS 3
#define MAX_CHANGES 3

/* odd versions drain the zone, even ones restore it; 0 is the initial state */
byte store = 0;
byte known_version[HOSTS];
bool drained[HOSTS];
bool serving[HOSTS] = true;
/* the store's answer in flight to each host: its version, whether it lists the zone as drained, and
   whether there is one */
byte answer_version[HOSTS];
bool answer_listed[HOSTS], answer_in_flight[HOSTS];
/* the message in flight of each host */
byte message_version[HOSTS];
bool message_in_flight[HOSTS];
byte h, from;

inline apply_command(to, version) {
  if
  /* Mutant: a host applies updates whatever their version, so a late message reverts a later
     command. */
#ifdef MUTANT_ACCEPTS_OLDER_UPDATES
  :: true ->
#else
  :: version > known_version[to] ->
#endif
       assert(version >= known_version[to]);
       known_version[to] = version; drained[to] = version % 2
#ifndef MUTANT_ACCEPTS_OLDER_UPDATES
  :: else
#endif
  fi
}

active proctype fleet() {
  do
  /* an operator drains or restores the zone */
  :: atomic { store < MAX_CHANGES -> store++ }
  /* a host reads all drain commands */
  :: atomic { if :: h = 0 :: h = 1 :: h = 2 fi;
       if
       :: !answer_in_flight[h] ->
            answer_in_flight[h] = true; answer_version[h] = store; answer_listed[h] = store % 2
       :: else
       fi; h = 0 }
  /* the answer arrives */
  :: atomic { if :: h = 0 :: h = 1 :: h = 2 fi;
       if
       :: answer_in_flight[h] ->
            answer_in_flight[h] = false;
            /* Mutant: a late answer that does not list the zone ends a drain which the host
               received meanwhile. */
#ifdef MUTANT_READ_CLEARS_DRAIN
            if
            :: !answer_listed[h] -> drained[h] = false
            :: else -> apply_command(h, answer_version[h])
            fi;
#else
            apply_command(h, answer_version[h]);
#endif
            serving[h] = true;
            assert(known_version[h] >= answer_version[h] && drained[h] == known_version[h] % 2);
            answer_version[h] = 0; answer_listed[h] = false
       :: else
       fi; h = 0 }
  /* a host sends what it knows */
  :: atomic { if :: from = 0 :: from = 1 :: from = 2 fi;
       if
       :: serving[from] -> message_version[from] = known_version[from]; message_in_flight[from] = true
       :: else
       fi; from = 0 }
  /* a host receives the message, which may arrive again */
  :: atomic { if :: from = 0 :: from = 1 :: from = 2 fi;
       if
       :: message_in_flight[from] ->
            if :: h = 0 :: h = 1 :: h = 2 fi;
            apply_command(h, message_version[from]);
            serving[h] = true;
            if :: message_in_flight[from] = false; message_version[from] = 0 :: true fi
       :: else
       fi; from = 0; h = 0 }
  /* a host restarts */
  :: atomic { if :: h = 0 :: h = 1 :: h = 2 fi;
       known_version[h] = 0; drained[h] = false; answer_in_flight[h] = false;
       answer_version[h] = 0; answer_listed[h] = false;
       serving[h] = false;
       h = 0 }
  od
}
