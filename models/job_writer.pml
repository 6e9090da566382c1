/*
 * One job of two items, kept by one of two hosts at a time.
 *
 * A host takes the job over under the row's version as it knows it, reads what is listed, and holds
 * the job. It runs items and lists them: each write names the row's version and puts the item at the
 * next position. Any host may take another for gone (that judgement may err). The host that accepted
 * the job begins it also when the acceptance was answered late. Answers get lost, and such writes
 * land later or never; hosts crash and forget; the caller may end the job.
 *
 * What must hold: no item stands at two positions, a position never changes, the row counts what
 * is listed, and nothing is listed after the job was ended.
 */
#define ITEMS 2
#define NONE 9

mtype = { OPEN, DONE, ENDED };

/* the row; the holder is a host's number and its life */
mtype phase = OPEN;
byte holder = 0, life = 0, fence = 1, commit = 0, listed = 0, version = 1;
byte position[ITEMS];      /* the item at each position, plus one */

typedef Row { byte holder; byte life; byte fence; byte commit; byte listed; byte version; bool open };

typedef Host {
  byte life;                /* of its process */
  Row view;                /* the row as its watch brought it last */
  bool held;
  Row known;               /* the row as its keeper left it */
  bool finished[ITEMS];    /* items that it will not life again */
  byte item;               /* to be listed (NONE: nothing) */
  bool loading;
  byte loaded;             /* the version for which it reads what is listed */
  bool read[ITEMS];        /* what it read */
  bool has_read;
};
Host host[2];

/* a write of each host on its way */
typedef Write { bool flying; bool takes; byte version; byte holder; byte life; byte fence; byte commit; byte listed; byte item };
Write f[2];

inline look(r) {
  r.holder = holder; r.life = life; r.fence = fence; r.commit = commit; r.listed = listed;
  r.version = version; r.open = (phase == OPEN)
}

inline copy(to, from) {
  to.holder = from.holder; to.life = from.life; to.fence = from.fence; to.commit = from.commit;
  to.listed = from.listed; to.version = from.version; to.open = from.open
}

/* a write lands; sets `took` */
inline land(i) {
  took = false;
  if
#ifdef MUTANT_UNCONDITIONAL_LISTING
  :: f[i].version == version || !f[i].takes ->
#else
  :: f[i].version == version ->
#endif
       took = true;
       assert(f[i].takes || phase != ENDED);
       if
       :: !f[i].takes ->
            assert(position[f[i].listed - 1] == 0 && position[0] != f[i].item + 1 && position[1] != f[i].item + 1);
            position[f[i].listed - 1] = f[i].item + 1;
            assert(listed + 1 == f[i].listed)
       :: else
       fi;
       holder = f[i].holder; life = f[i].life; fence = f[i].fence; commit = f[i].commit;
       listed = f[i].listed; version++;
       if :: listed == ITEMS -> phase = DONE :: else fi
  :: else
  fi;
  f[i].flying = false
}

inline drop(i) {
  host[i].held = false; host[i].item = NONE; host[i].finished[0] = false; host[i].finished[1] = false
}

inline stop_loading(i) {
  host[i].loading = false; host[i].has_read = false; host[i].read[0] = false; host[i].read[1] = false
}

/* after a write that did not fit or was not answered: reads the row */
inline read_back(i) {
  if
  :: commit == host[i].known.commit + 1 && holder == i && life == host[i].life &&
     fence == host[i].known.fence -> listed_now(i)
  :: commit == host[i].known.commit && holder == i && life == host[i].life &&
     fence == host[i].known.fence && phase == OPEN -> look(host[i].known)
  :: else -> look(host[i].view); drop(i)
  fi
}

inline listed_now(i) {
#ifdef MUTANT_KEEPS_ITS_OWN_ROW
  /* goes on from the row that it wrote, although that was ended since */
  host[i].known.version = version; host[i].known.commit++; host[i].known.listed++; host[i].item = NONE;
  if :: host[i].known.listed == ITEMS -> drop(i) :: else fi
#else
  look(host[i].known); look(host[i].view); host[i].item = NONE;
  if :: phase != OPEN -> drop(i) :: else fi
#endif
}

active proctype system() {
  byte i, k;
  bool took;
  host[0].item = NONE; host[1].item = NONE;
  look(host[0].view); look(host[1].view);
  do
  :: atomic {
       if :: i = 0 :: i = 1 fi;
       if
       /* the acceptance was answered, perhaps late: begins the job as nobody has touched it */
       :: host[i].life == 0 && host[i].view.holder == i && host[i].view.life == 0 &&
          host[i].view.open &&
#ifndef MUTANT_BEGINS_TWICE
          host[i].view.listed == 0 && !host[i].held &&
#endif
          host[i].view.fence == 1 ->
            host[i].held = true; copy(host[i].known, host[i].view); host[i].item = NONE;
            host[i].finished[0] = false; host[i].finished[1] = false
       /* takes the job over from a holder that seems gone */
       :: !host[i].held && !host[i].loading && !f[i].flying && host[i].view.open && fence < 3 &&
          (host[i].view.holder != i || host[i].view.life != host[i].life) ->
            f[i].takes = true; f[i].version = host[i].view.version; f[i].holder = i;
            f[i].life = host[i].life; f[i].fence = host[i].view.fence + 1;
            f[i].commit = host[i].view.commit; f[i].listed = host[i].view.listed; f[i].item = NONE;
            f[i].flying = true
       /* it is this host's by the row and not held: reads what is listed */
       :: !host[i].held && !host[i].loading && host[i].view.open && host[i].view.holder == i &&
          host[i].view.life == host[i].life ->
            host[i].loading = true; host[i].loaded = host[i].view.version
       :: host[i].loading && !host[i].has_read ->
            host[i].has_read = true; k = 0;
            do
            :: k < ITEMS ->
                 if :: position[k] != 0 -> host[i].read[position[k] - 1] = true :: else fi;
                 k++
            :: else -> break
            od;
            k = 0
       :: host[i].has_read ->
            if
#ifdef MUTANT_LOAD_UNCHECKED
            :: !host[i].held ->
#else
            :: host[i].view.version == host[i].loaded && !host[i].held ->
#endif
                 host[i].held = true; copy(host[i].known, host[i].view); host[i].item = NONE;
                 host[i].finished[0] = host[i].read[0]; host[i].finished[1] = host[i].read[1]
            :: else
            fi;
            stop_loading(i)
       /* an item is finished */
       :: host[i].held && host[i].item == NONE ->
            if
            :: !host[i].finished[0] -> host[i].finished[0] = true; host[i].item = 0
            :: !host[i].finished[1] -> host[i].finished[1] = true; host[i].item = 1
            :: else
            fi
       /* lists it */
       :: host[i].held && host[i].item != NONE && !f[i].flying ->
            f[i].takes = false; f[i].version = host[i].known.version; f[i].holder = i;
            f[i].life = host[i].life; f[i].fence = host[i].known.fence;
            f[i].commit = host[i].known.commit + 1; f[i].listed = host[i].known.listed + 1;
            f[i].item = host[i].item; f[i].flying = true;
            if
            /* answered */
            :: land(i); if :: took -> listed_now(i) :: else -> read_back(i) fi
            /* not answered: reads back, or fails to */
            :: read_back(i)
            :: true -> skip
            fi
       /* what it wrote before may have landed: reads back before it writes again */
       :: host[i].held && host[i].item != NONE -> read_back(i)
       /* hears that another holds the job or that it ended */
       :: host[i].held && (!host[i].view.open || host[i].view.holder != i || host[i].view.life != host[i].life) &&
          host[i].view.version > host[i].known.version -> drop(i)
       /* crashes: another life, which knows what the table says */
       :: host[i].life < 1 -> host[i].life = 1; drop(i); stop_loading(i); look(host[i].view)
       /* the watch */
       :: look(host[i].view)
       fi
     }
  :: atomic { f[0].flying -> land(0) }
  :: atomic { f[1].flying -> land(1) }
  :: atomic { f[0].flying -> f[0].flying = false }
  :: atomic { f[1].flying -> f[1].flying = false }
  /* the caller ends the job */
  :: atomic { phase == OPEN -> phase = ENDED; version++ }
  od
}
