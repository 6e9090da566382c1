/*
 * Checks the job writer, which writes the results of a held job: one job of two items, held by one of two
 * hosts at a time.
 *
 * A host takes the job over on the condition that the row has the version that it knows, loads the listed
 * results, and holds the job. It runs items and lists their results: each write is conditional on the
 * row's version and puts the item at the next position. The host that accepted the job starts it, also
 * when the acceptance was answered late.
 *
 * Assumptions: a host may consider the other one dead, rightly or wrongly. Answers to writes are lost; such
 * a write is applied later or never. Hosts crash and lose their memory. The caller may end the job.
 *
 * What must hold: no item has two positions, a position never changes, the row counts the listed results,
 * and nothing is listed after the caller ended the job.
 */
#define ITEMS 2
#define NONE 9

mtype = { OPEN, DONE, ENDED };

/* the row; the holder is a host's number and its incarnation */
mtype phase = OPEN;
byte holder = 0, incarnation = 0, fence = 1, commit = 0, listed = 0, version = 1;
byte position[ITEMS];  /* the item at each position, plus one */

typedef Row { byte holder; byte incarnation; byte fence; byte commit; byte listed; byte version;
  bool open };

typedef Host {
  byte incarnation;          /* of its process */
  Row view;                  /* the row as its watch last received it */
  bool held;
  Row written;               /* the row as its job writer last wrote or read it */
  bool finished[ITEMS];      /* items that it will not run again */
  byte item;                 /* finished and to be listed (NONE: no item) */
  bool loading;
  byte load_version;         /* the row's version for which it loads the listed results */
  bool loaded_items[ITEMS];  /* the items that it loaded */
  bool is_loaded;
};
Host host[2];

/* the write of each host that is in flight */
typedef Write { bool in_flight; bool is_takeover; byte version; byte holder; byte incarnation;
  byte fence; byte commit; byte listed; byte item };
Write writes[2];

inline read_row(r) {
  r.holder = holder; r.incarnation = incarnation; r.fence = fence; r.commit = commit; r.listed = listed;
  r.version = version; r.open = (phase == OPEN)
}

inline copy_row(to, from) {
  to.holder = from.holder; to.incarnation = from.incarnation; to.fence = from.fence;
  to.commit = from.commit; to.listed = from.listed; to.version = from.version; to.open = from.open
}

/* applies a write if its condition holds; sets `applied` */
inline apply_write(i) {
  applied = false;
  if
  /* Mutant: a result is listed whatever the row's version, so two holders or a late write
     overwrite a position. */
#ifdef MUTANT_UNCONDITIONAL_LISTING
  :: writes[i].version == version || !writes[i].is_takeover ->
#else
  :: writes[i].version == version ->
#endif
       applied = true;
       assert(writes[i].is_takeover || phase != ENDED);
       if
       :: !writes[i].is_takeover ->
            assert(position[writes[i].listed - 1] == 0 && position[0] != writes[i].item + 1 &&
              position[1] != writes[i].item + 1);
            position[writes[i].listed - 1] = writes[i].item + 1;
            assert(listed + 1 == writes[i].listed)
       :: else
       fi;
       holder = writes[i].holder; incarnation = writes[i].incarnation; fence = writes[i].fence;
       commit = writes[i].commit; listed = writes[i].listed; version++;
       if :: listed == ITEMS -> phase = DONE :: else fi
  :: else
  fi;
  writes[i].in_flight = false
}

inline release(i) {
  host[i].held = false; host[i].item = NONE; host[i].finished[0] = false; host[i].finished[1] = false
}

inline stop_loading(i) {
  host[i].loading = false; host[i].is_loaded = false; host[i].loaded_items[0] = false;
  host[i].loaded_items[1] = false
}

/* after a write that was rejected or not answered: reads the row to find out its outcome */
inline resolve_outcome(i) {
  if
  :: commit == host[i].written.commit + 1 && holder == i && incarnation == host[i].incarnation &&
     fence == host[i].written.fence -> record_listed(i)
  :: commit == host[i].written.commit && holder == i && incarnation == host[i].incarnation &&
     fence == host[i].written.fence && phase == OPEN -> read_row(host[i].written)
  :: else -> read_row(host[i].view); release(i)
  fi
}

inline record_listed(i) {
  /* Mutant: the job writer continues from the row that it wrote, although the caller ended the job
     since, and lists further results. */
#ifdef MUTANT_KEEPS_WRITTEN_ROW
  host[i].written.version = version; host[i].written.commit++; host[i].written.listed++;
  host[i].item = NONE;
  if :: host[i].written.listed == ITEMS -> release(i) :: else fi
#else
  read_row(host[i].written); read_row(host[i].view); host[i].item = NONE;
  if :: phase != OPEN -> release(i) :: else fi
#endif
}

active proctype system() {
  byte i, k;
  bool applied;
  host[0].item = NONE; host[1].item = NONE;
  read_row(host[0].view); read_row(host[1].view);
  do
  :: atomic {
       if :: i = 0 :: i = 1 fi;
       if
       /* the acceptance was answered, perhaps late: starts the job, which no host has worked on yet */
       :: host[i].incarnation == 0 && host[i].view.holder == i && host[i].view.incarnation == 0 &&
          host[i].view.open &&
          /* Mutant: a late answer to the acceptance starts the job again, also after results
             were listed or while the job is held, so an item is listed twice. */
#ifndef MUTANT_STARTS_TWICE
          host[i].view.listed == 0 && !host[i].held &&
#endif
          host[i].view.fence == 1 ->
            host[i].held = true; copy_row(host[i].written, host[i].view); host[i].item = NONE;
            host[i].finished[0] = false; host[i].finished[1] = false
       /* takes the job over from a holder that seems dead */
       :: !host[i].held && !host[i].loading && !writes[i].in_flight && host[i].view.open && fence < 3 &&
          (host[i].view.holder != i || host[i].view.incarnation != host[i].incarnation) ->
            writes[i].is_takeover = true; writes[i].version = host[i].view.version;
            writes[i].holder = i; writes[i].incarnation = host[i].incarnation;
            writes[i].fence = host[i].view.fence + 1; writes[i].commit = host[i].view.commit;
            writes[i].listed = host[i].view.listed; writes[i].item = NONE;
            writes[i].in_flight = true
       /* the row names this host as the holder, which does not hold the job: loads the results */
       :: !host[i].held && !host[i].loading && host[i].view.open && host[i].view.holder == i &&
          host[i].view.incarnation == host[i].incarnation ->
            host[i].loading = true; host[i].load_version = host[i].view.version
       :: host[i].loading && !host[i].is_loaded ->
            host[i].is_loaded = true; k = 0;
            do
            :: k < ITEMS ->
                 if :: position[k] != 0 -> host[i].loaded_items[position[k] - 1] = true :: else fi;
                 k++
            :: else -> break
            od;
            k = 0
       :: host[i].is_loaded ->
            if
            /* Mutant: the host holds the job although the row changed while it loaded the
               results, so it lists a result after the caller ended the job. */
#ifdef MUTANT_LOAD_VERSION_UNCHECKED
            :: !host[i].held ->
#else
            :: host[i].view.version == host[i].load_version && !host[i].held ->
#endif
                 host[i].held = true; copy_row(host[i].written, host[i].view); host[i].item = NONE;
                 host[i].finished[0] = host[i].loaded_items[0];
                 host[i].finished[1] = host[i].loaded_items[1]
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
       /* lists its result */
       :: host[i].held && host[i].item != NONE && !writes[i].in_flight ->
            writes[i].is_takeover = false; writes[i].version = host[i].written.version;
            writes[i].holder = i; writes[i].incarnation = host[i].incarnation;
            writes[i].fence = host[i].written.fence;
            writes[i].commit = host[i].written.commit + 1;
            writes[i].listed = host[i].written.listed + 1;
            writes[i].item = host[i].item; writes[i].in_flight = true;
            if
            /* answered */
            :: apply_write(i); if :: applied -> record_listed(i) :: else -> resolve_outcome(i) fi
            /* not answered: reads the row, or fails to */
            :: resolve_outcome(i)
            :: true -> skip
            fi
       /* an earlier write may have been applied: reads the row before it writes again */
       :: host[i].held && host[i].item != NONE -> resolve_outcome(i)
       /* its view shows that another host holds the job or that the job ended */
       :: host[i].held &&
          (!host[i].view.open || host[i].view.holder != i ||
           host[i].view.incarnation != host[i].incarnation) &&
          host[i].view.version > host[i].written.version -> release(i)
       /* crashes: a new incarnation, which knows what the table says */
       :: host[i].incarnation < 1 ->
            host[i].incarnation = 1; release(i); stop_loading(i); read_row(host[i].view)
       /* the watch updates the view */
       :: read_row(host[i].view)
       fi
     }
  :: atomic { writes[0].in_flight -> apply_write(0) }
  :: atomic { writes[1].in_flight -> apply_write(1) }
  :: atomic { writes[0].in_flight -> writes[0].in_flight = false }
  :: atomic { writes[1].in_flight -> writes[1].in_flight = false }
  /* the caller ends the job */
  :: atomic { phase == OPEN -> phase = ENDED; version++ }
  od
}
