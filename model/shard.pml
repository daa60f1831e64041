/* The core protocol of a shard: who may act for it, and what is never forgotten.
 *
 * One shard, three members, three attempts to hold it. Attempt 0 holds epoch 1;
 * attempts 1 and 2 are competing takeovers that end as holders of epoch 2 or 3. The
 * row of the table service names the epoch, the attempt that holds it, and the
 * incarnation of each member.
 *
 * What is abstracted:
 * - A message, once sent, may be delivered at any later time, repeatedly or never,
 *   which gives loss, delay, reordering and duplicates. An answer is received in
 *   the step that made it. A late receipt is the receiver acting late, since a
 *   receipt changes the receiver alone. A lost one is a subset: a promise that no
 *   takeover learns of only makes the member refuse what may be lost anyway, a grant
 *   that no holder learns of is one that expired at once, and a record stored
 *   without a receipt is acknowledged here at the earliest moment.
 * - Time is two events per granted lease: the holder's share ends at any moment;
 *   the member's share ends at any moment after the holder's. That is the bound on
 *   clock drift: a holder counts from its own send, a member from its receipt.
 * - A pause or a crash of a holder or takeover is a step that is not taken. A restart
 *   of a member is explicit: it comes back with empty memory as a new incarnation,
 *   once in all. It is member 0 that restarts; members are symmetric.
 * - The copy to the new group is one step. A member that restarted since the group
 *   was chosen is passed over, which allows more than the code does: there the
 *   takeover would stop.
 * - The holders of epochs 1 and 2 write one record each, numbered by the attempt.
 *   Takeover 1 starts first, and it is takeover 1 that writes; takeovers are symmetric but
 *   for this order, so both orders of who writes are covered by SECOND_WRITES.
 * - The row's conditional write may take effect at any time after it was issued,
 *   and its answer may be lost; reading back settles it. Store outages are steps
 *   not taken. An attempt that has not yet issued its write may abandon, which
 *   frees the members that promised to it.
 *
 * Broken variants, each of which must be refuted: NO_SEAL (a member answers a seal
 * without promising), NO_WAIT (a member answers before its granted lease ended),
 * EMPTY_VOTES (a restarted member votes for an epoch of its former incarnation),
 * EARLY_CHECK (a holder acts on a check of its lease made before a pause).
 *
 * PROGRESS leaves out records and bounds the expiries, so that every run ends, and
 * checks that each ends with a holder in effect, unless each takeover met the restart on its way.
 */

#define IDLE 0
#define SEALING 1
#define COPYING 2
#define WRITING 3
#define HOLDING 4
#define LOST 5
#define ABANDONED 6

#define NONE 3
#define ALL 7
#define BIT(i) (1 << (i))
#define HAS(set, i) (((set) >> (i)) & 1)
#define MAJORITY(set) ((set) == 3 || (set) == 5 || (set) == 6 || (set) == 7)
#define SAME(a, b, m) (HAS(a, m) == HAS(b, m))

/* The row of the table service. */
byte row_epoch = 1;
byte row_attempt = 0;
byte row_incarnations = 0;

/* Members: incarnations has one bit for each. */
byte incarnations = 0;
byte entered[3];     /* attempt whose epoch the member is in, or NONE */
byte sealed_by[3];   /* attempts that the member promised to */
byte records[3];     /* set of records held */
byte staged[3];      /* set of attempts with a copy kept aside */
byte granted[3];     /* attempt with a lease that has not surely ended, or NONE */

/* Attempts. */
byte state[3];
byte epoch[4];       /* epoch that the attempt aims for or holds; epoch[NONE] is 0 */
byte previous[3];    /* attempt named by the row that was read */
byte old_group[3];   /* incarnations of the members to seal */
byte new_group[3];   /* incarnations of the members to copy to */
byte sealed[3];      /* members that answered the seal */
byte known[3];       /* set of records known to the attempt */
byte leases[3];      /* members whose lease counts at the holder */
byte stored[3];      /* members that acknowledged the attempt's record */

/* What the properties speak of. */
byte acknowledged = 0;
byte served = 0;     /* highest epoch that was ever in effect */
#ifdef EARLY_CHECK
bool checked[3];
#endif
#ifdef PROGRESS
byte expiries = 0;
#define EXPIRY_LEFT(t, m) (expiries < 3 || PROMISED_ABOVE(epoch[t], m))
#define COUNT_EXPIRY \
  if \
  :: expiries < 3 -> expiries++ \
  :: else -> skip \
  fi
#else
#define EXPIRY_LEFT(t, m) true
#define COUNT_EXPIRY skip
#endif

#ifdef EMPTY_VOTES
#define MEMBER_OF(group, m) true
#define HAS_STATE(t, m) true
#else
#define MEMBER_OF(group, m) SAME(group, incarnations, m)
#define HAS_STATE(t, m) (entered[m] == t || HAS(staged[m], t))
#endif

/* A member refuses attempts below an epoch that it promised or is in. */
#define PROMISED_ABOVE(e, m) \
  ((HAS(sealed_by[m], 1) && epoch[1] > (e)) || (HAS(sealed_by[m], 2) && epoch[2] > (e)))
#define ADMITS(t, m) (!PROMISED_ABOVE(epoch[t], m) && HAS_STATE(t, m) && \
  (entered[m] == t || epoch[entered[m]] < epoch[t]))

/* The first message of an epoch's holder, or a seal of that epoch, puts the copy in
 * force. The copy is what the attempt knew before its own record. */
#define ENTER(t, m) \
  if \
  :: entered[m] != t -> \
     records[m] = (HAS(staged[m], t) -> (known[t] & (ALL - BIT(t))) : 0); \
     entered[m] = t; \
     staged[m] = staged[m] & (ALL - BIT(t)) \
  :: else -> skip \
  fi

#define IN_EFFECT(t) (state[t] == HOLDING && MAJORITY(leases[t]))

/* At most one holder is in effect, epochs in effect never go back, and a holder in
 * effect knows every acknowledged record. */
#define CHECK(t) \
  if \
  :: IN_EFFECT(t) -> \
     assert(!((t != 0 && IN_EFFECT(0)) || (t != 1 && IN_EFFECT(1)) || (t != 2 && IN_EFFECT(2)))); \
     assert(epoch[t] >= served); \
     served = epoch[t]; \
     assert((acknowledged & (ALL - known[t])) == 0) \
  :: else -> skip \
  fi

#define READ(t) \
  :: d_step { state[t] == IDLE && (t == 1 || state[1] != IDLE) -> \
     previous[t] = row_attempt; \
     old_group[t] = row_incarnations; \
     epoch[t] = row_epoch + 1; \
     state[t] = SEALING }

#ifdef NO_SEAL
#define PROMISE(t, m) skip
#else
#define PROMISE(t, m) sealed_by[m] = sealed_by[m] | BIT(t)
#endif
#ifdef NO_WAIT
#define LEASE_ENDED(m) true
#else
#define LEASE_ENDED(m) (granted[m] == NONE)
#endif

#define MAY_SEAL(t, m) (state[t] == SEALING && MEMBER_OF(old_group[t], m) && HAS_STATE(previous[t], m) && \
  epoch[entered[m]] < epoch[t] && !PROMISED_ABOVE(epoch[t], m))

/* The promise alone, made before the lease has ended, matters to progress only. */
#ifdef PROGRESS
#define SEAL_EARLY(t, m) \
  :: d_step { MAY_SEAL(t, m) && !HAS(sealed_by[m], t) -> \
     ENTER(previous[t], m); \
     PROMISE(t, m) }
#else
#define SEAL_EARLY(t, m)
#endif

#define SEAL(t, m) \
  :: d_step { MAY_SEAL(t, m) && LEASE_ENDED(m) && !HAS(sealed[t], m) -> \
     ENTER(previous[t], m); \
     PROMISE(t, m); \
     sealed[t] = sealed[t] | BIT(m); \
     known[t] = known[t] | records[m] }

#define SEAL_DONE(t) \
  :: d_step { state[t] == SEALING && MAJORITY(sealed[t]) -> \
     sealed[t] = 0; \
     previous[t] = 0; \
     old_group[t] = 0; \
     new_group[t] = incarnations; \
     state[t] = COPYING }

#define GONE(t, m) (!SAME(new_group[t], incarnations, m))
#define TAKES_COPY(t, m) (epoch[entered[m]] < epoch[t] && !PROMISED_ABOVE(epoch[t], m))
#define STAGE(t, m) \
  if \
  :: GONE(t, m) -> skip \
  :: else -> staged[m] = staged[m] | BIT(t) \
  fi

#define COPY(t) \
  :: d_step { state[t] == COPYING && (GONE(t, 0) || TAKES_COPY(t, 0)) && \
     (GONE(t, 1) || TAKES_COPY(t, 1)) && (GONE(t, 2) || TAKES_COPY(t, 2)) -> \
     STAGE(t, 0); \
     STAGE(t, 1); \
     STAGE(t, 2); \
     state[t] = WRITING }

#define ABANDON(t) \
  :: d_step { (state[t] == SEALING || state[t] == COPYING) -> \
     state[t] = ABANDONED; \
     sealed[t] = 0; \
     known[t] = 0; \
     previous[t] = 0; \
     old_group[t] = 0; \
     new_group[t] = 0 }

#define UNSEAL(t, m) \
  :: d_step { state[t] == ABANDONED && HAS(sealed_by[m], t) -> \
     sealed_by[m] = sealed_by[m] & (ALL - BIT(t)) }

#define WIN(t) \
  row_epoch = epoch[t]; \
  row_attempt = t; \
  row_incarnations = new_group[t]

#define LOSE(t) \
  state[t] = LOST; \
  known[t] = 0; \
  new_group[t] = 0; \
  staged[0] = staged[0] & (ALL - BIT(t)); \
  staged[1] = staged[1] & (ALL - BIT(t)); \
  staged[2] = staged[2] & (ALL - BIT(t))

/* The write takes effect with its answer lost, or with its answer received; it is
 * settled by reading back. A copy of a lost attempt is never put in force. */
#define WRITE(t) \
  :: d_step { state[t] == WRITING && row_epoch + 1 == epoch[t] -> WIN(t) } \
  :: d_step { state[t] == WRITING && row_epoch + 1 == epoch[t] -> \
     WIN(t); \
     state[t] = HOLDING } \
  :: d_step { state[t] == WRITING && row_attempt == t -> state[t] = HOLDING } \
  :: d_step { state[t] == WRITING && row_epoch >= epoch[t] && row_attempt != t -> \
     if \
     :: row_epoch == epoch[t] -> LOSE(t) \
     :: else -> state[t] = LOST \
     fi }

#define MAY_RENEW(t, m) (state[t] == HOLDING && MEMBER_OF(new_group[t], m) && ADMITS(t, m))

#define RENEW(t, m) \
  :: d_step { MAY_RENEW(t, m) && !HAS(leases[t], m) -> \
     ENTER(t, m); \
     granted[m] = t; \
     leases[t] = leases[t] | BIT(m); \
     CHECK(t) }

#define EXPIRE(t, m) \
  :: d_step { HAS(leases[t], m) && EXPIRY_LEFT(t, m) -> \
     leases[t] = leases[t] & (ALL - BIT(m)); \
     COUNT_EXPIRY }

#define END_GRANT(m) \
  :: d_step { granted[m] != NONE && !HAS(leases[granted[m]], m) -> granted[m] = NONE }

/* A record is sent while the holder is in effect; its messages may arrive long after. */
#define SEND(t) \
  :: d_step { !HAS(known[t], t) && IN_EFFECT(t) -> known[t] = known[t] | BIT(t) }

#define STORE(t, m) \
  :: d_step { HAS(known[t], t) && MAY_RENEW(t, m) && !HAS(stored[t], m) -> \
     ENTER(t, m); \
     records[m] = records[m] | BIT(t); \
     stored[t] = stored[t] | BIT(m) }

#define ACKNOWLEDGE(t) \
  :: d_step { MAJORITY(stored[t]) && !HAS(acknowledged, t) -> \
     acknowledged = acknowledged | BIT(t); \
     CHECK(0); \
     CHECK(1); \
     CHECK(2) }

#define RESTART(m) \
  :: d_step { incarnations == 0 -> \
     incarnations = BIT(m); \
     entered[m] = NONE; \
     sealed_by[m] = 0; \
     records[m] = 0; \
     staged[m] = 0; \
     granted[m] = NONE }

#ifdef EARLY_CHECK
#define ACT(t) \
  :: d_step { IN_EFFECT(t) && !checked[t] -> checked[t] = true } \
  :: d_step { checked[t] -> \
     checked[t] = false; \
     assert(epoch[t] >= served) }
#else
#define ACT(t)
#endif

#ifdef PROGRESS
#define STUCK(t) (state[t] == SEALING || state[t] == COPYING || state[t] == LOST)
#define FAULTS
#else
#define FAULTS ABANDON(1) ABANDON(2) EACH_TAKER(UNSEAL)
#endif

#ifdef SECOND_WRITES
#define WRITER 2
#else
#define WRITER 1
#endif

#define EACH_MEMBER(X, t) X(t, 0) X(t, 1) X(t, 2)
#define EACH(X) EACH_MEMBER(X, 0) EACH_MEMBER(X, 1) EACH_MEMBER(X, 2)
#define EACH_TAKER(X) EACH_MEMBER(X, 1) EACH_MEMBER(X, 2)

active proctype world() {
  d_step {
    epoch[0] = 1;
    state[0] = HOLDING;
    granted[0] = NONE;
    granted[1] = NONE;
    granted[2] = NONE
  }
end:
  do
  READ(1) READ(2)
  EACH_TAKER(SEAL_EARLY)
  EACH_TAKER(SEAL)
  SEAL_DONE(1) SEAL_DONE(2)
  COPY(1) COPY(2)
  WRITE(1) WRITE(2)
  FAULTS
  EACH(RENEW)
  EACH(EXPIRE)
  END_GRANT(0) END_GRANT(1) END_GRANT(2)
#ifndef PROGRESS
  SEND(0) SEND(WRITER)
  EACH_MEMBER(STORE, 0) EACH_MEMBER(STORE, WRITER)
  ACKNOWLEDGE(0) ACKNOWLEDGE(WRITER)
#endif
  RESTART(0)
  ACT(0) ACT(1) ACT(2)
#ifdef PROGRESS
  :: timeout -> break
#endif
  od;
#ifdef PROGRESS
  assert(IN_EFFECT(0) || IN_EFFECT(1) || IN_EFFECT(2) || (incarnations != 0 && STUCK(1) && STUCK(2)))
#endif
}
