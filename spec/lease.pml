/* Orders to a pool: a lease in the log, its offset the fencing token; holders that pause.
 *
 * Two boxes take the lease one after the other. A server that checks tokens refuses a lower one. A
 * server that does not check is protected by time: the holder checks what is left of its lease last
 * thing before it sends, and a successor waits for the lease and the longest order to pass. Orders
 * name a target state, so a repeat is harmless.
 *
 * Properties: a server never goes back from a later holder's order to an earlier holder's.
 * Guards removed by macros: FENCE, LAST_CHECK, SUCCESSOR_WAIT.
 */
#define TERM 2
#define FLIGHT 1                 /* the longest order */
#define END 9
byte clock;
byte holder_from[3];             /* when the log took holder k's lease (token k); 255: never */
byte fenced_at, plain_at;        /* token of the order each server obeyed last */
byte flying, flying_until;       /* an order on its way to the plain server */
bool plain_back, fenced_back;

proctype Holder(byte k) {
  byte asked;
  if
  :: k == 1 -> skip
#ifdef NO_SUCCESSOR_WAIT
  :: k == 2 -> atomic { holder_from[1] != 255 && clock > holder_from[1] -> skip }
#else
  :: k == 2 -> atomic { holder_from[1] != 255 && clock > holder_from[1] + TERM + FLIGHT -> skip }
#endif
  fi;
  /* The holder counts from before it sent the append; others from when the log has it. */
  asked = clock;
  if :: atomic { clock < END -> holder_from[k] = clock } :: clock == END -> goto end fi;
  do
  :: atomic { clock < END ->
#ifndef NO_FENCE
       if
       :: k >= fenced_at -> fenced_at = k
       :: else -> skip
       fi
#else
       if :: k < fenced_at -> fenced_back = true :: else -> skip fi;
       fenced_at = k
#endif
     }
#ifdef NO_LAST_CHECK
  :: atomic { clock < END && flying == 0 -> flying = k; flying_until = clock + FLIGHT }
#else
  :: atomic { clock < asked + TERM && clock < END && flying == 0 ->
              flying = k; flying_until = clock + FLIGHT }
#endif
  :: clock == END -> break
  od;
end:
  skip
}

proctype World() {
  do
  :: atomic { clock < END && !(flying != 0 && clock >= flying_until) -> clock++ }
  :: atomic { flying != 0 ->
       if :: flying < plain_at -> plain_back = true :: else -> skip fi;
       plain_at = flying; flying = 0; flying_until = 0 }
  :: clock == END -> break
  od
}

init {
  holder_from[1] = 255; holder_from[2] = 255;
  atomic { run World(); run Holder(1); run Holder(2) }
}

active proctype Monitor() {
  do
  :: atomic { fenced_back || plain_back -> assert(false) }
  od
}
