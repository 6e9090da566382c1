/*
 * A zone that is drained and taken back, over hosts that hear of it from the store and from each other.
 *
 * Each change of the order has a higher version. The store answers a read at once or late, from an
 * earlier moment. Messages between hosts carry what the sender knew when it sent them; they get lost, come
 * late and come twice. A host starts anew and knows nothing; it serves after it has read the store or has
 * heard another host that knows more.
 *
 * What must hold: a host never goes from a later order to an earlier one, and a host that is in step with
 * the store knows what the store says.
 */
#define HOSTS 3
#define CHANGES 3

/* odd versions drain the zone, even ones take it back; 0 is the beginning */
byte store = 0;
byte known[HOSTS];
bool drained[HOSTS];
bool serves[HOSTS] = true;
/* an answer of the store on its way: its version, whether the zone is listed, and whether there is one */
byte answer_version[HOSTS];
bool answer_listed[HOSTS], answering[HOSTS];
/* one message of each host on its way */
byte message[HOSTS];
bool moving[HOSTS];
byte h, from;

inline take(to, version) {
  if
#ifdef MUTANT_TAKES_ANY_NEWS
  :: true ->
#else
  :: version > known[to] ->
#endif
       assert(version >= known[to]);
       known[to] = version; drained[to] = version % 2
#ifndef MUTANT_TAKES_ANY_NEWS
  :: else
#endif
  fi
}

active proctype fleet() {
  do
  /* an operator drains the zone, or takes it back */
  :: atomic { store < CHANGES -> store++ }
  /* a host reads all orders */
  :: atomic { if :: h = 0 :: h = 1 :: h = 2 fi;
       if
       :: !answering[h] ->
            answering[h] = true; answer_version[h] = store; answer_listed[h] = store % 2
       :: else
       fi; h = 0 }
  /* the answer comes */
  :: atomic { if :: h = 0 :: h = 1 :: h = 2 fi;
       if
       :: answering[h] ->
            answering[h] = false;
#ifdef MUTANT_A_READ_ENDS_ALL_DRAINS
            if
            :: !answer_listed[h] -> drained[h] = false
            :: else -> take(h, answer_version[h])
            fi;
#else
            take(h, answer_version[h]);
#endif
            serves[h] = true;
            assert(known[h] >= answer_version[h] && drained[h] == known[h] % 2);
            answer_version[h] = 0; answer_listed[h] = false
       :: else
       fi; h = 0 }
  /* a host tells what it knows */
  :: atomic { if :: from = 0 :: from = 1 :: from = 2 fi;
       if
       :: serves[from] -> message[from] = known[from]; moving[from] = true
       :: else
       fi; from = 0 }
  /* another hears it, perhaps again */
  :: atomic { if :: from = 0 :: from = 1 :: from = 2 fi;
       if
       :: moving[from] ->
            if :: h = 0 :: h = 1 :: h = 2 fi;
            take(h, message[from]);
            serves[h] = true;
            if :: moving[from] = false; message[from] = 0 :: true fi
       :: else
       fi; from = 0; h = 0 }
  /* a host starts anew */
  :: atomic { if :: h = 0 :: h = 1 :: h = 2 fi;
       known[h] = 0; drained[h] = false; answering[h] = false;
       answer_version[h] = 0; answer_listed[h] = false;
       serves[h] = false;
       h = 0 }
  od
}
