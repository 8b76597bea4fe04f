//! Guards and claims exchanged message by message: answers to resent requests, expiry, lost guards,
//! and two claims that compete for a key.

use std::time::Duration;

use trefoillock_core::{
    DataCentre, Fingerprint, Guard, GuardSet, GuardSlot, GuardTable, Incarnation, NodeId, Outcome,
    RefusalReason, Timestamp,
};
use trefoillock_policy::{
    CLOCK_SKEW_MARGIN, Claim, ClaimId, ClaimLoss, ClaimState, CopyRequest, Finish, GuardKeeper,
    KEY_WINDOW, KeyEnd, KeyHash, MAX_KEYS_PER_SLOT, MAX_STORED_BODY_BYTES, StoredAnswer,
    uuid_v7_time,
};

const NOW: Timestamp = Timestamp::from_secs(1_000_000);
const REQUEST: Fingerprint = Fingerprint::new(1);
const OTHER_REQUEST: Fingerprint = Fingerprint::new(2);

fn guard(number: u16) -> Guard {
    Guard {
        node: NodeId::try_from(format!("node-{number}")).expect("valid name"),
        incarnation: Incarnation::new(1),
        peer_address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentre::try_from("a").expect("valid name"),
    }
}

/// A fixture of three active guards of one slot.
struct GuardFixture {
    set: GuardSet,
    keepers: Vec<(Guard, GuardKeeper)>,
    next_sequence: u64,
}

impl GuardFixture {
    fn new(lost_at: Option<Timestamp>) -> Self {
        let guards: Vec<Guard> = (0..3).map(guard).collect();
        let set = GuardSet {
            epoch: 1,
            guards: guards.clone(),
            previous: Vec::new(),
            previous_epoch: 0,
            lost_at,
        };
        let table = GuardTable::from([(GuardSlot::from_hash(0), set.clone())]);
        let keeper = |guard: Guard| {
            let mut keeper = GuardKeeper::new(guard.node.clone(), guard.incarnation);
            keeper.sync(&table);
            (guard, keeper)
        };
        let keepers = guards.into_iter().map(keeper).collect();
        Self {
            set,
            keepers,
            next_sequence: 0,
        }
    }

    fn claim(&mut self, now: Timestamp, key: u64, request: Fingerprint) -> Claim {
        self.claim_at(now, key, request, None)
    }

    fn claim_at(
        &mut self,
        now: Timestamp,
        key: u64,
        request: Fingerprint,
        key_time: Option<Timestamp>,
    ) -> Claim {
        self.next_sequence += 1;
        let id = ClaimId::new(1, self.next_sequence);
        let key = KeyHash { high: 0, low: key };
        let until = now + Duration::from_secs(10);
        Claim::new(now, id, key, request, key_time, until, &self.set)
    }

    /// Passes the requests of a claim to the guards in `reached`, and their answers to the claim.
    fn ask(&mut self, now: Timestamp, claim: &mut Claim, reached: &[usize]) -> ClaimState {
        for (guard, request) in claim.requests() {
            let at = self.keepers.iter().position(|(other, _)| *other == guard);
            let at = at.expect("a guard");
            if reached.contains(&at) {
                let answer = self.keepers[at].1.claim(now, &request);
                claim.record_vote(now, &guard, answer);
            }
        }
        claim.state().clone()
    }

    fn claim_all(&mut self, now: Timestamp, key: u64, request: Fingerprint) -> (Claim, ClaimState) {
        let mut claim = self.claim(now, key, request);
        let state = self.ask(now, &mut claim, &[0, 1, 2]);
        (claim, state)
    }

    fn finish(&mut self, now: Timestamp, claim: &Claim, finish: &Finish) {
        for (guard, request) in claim.finish_requests(None, finish) {
            let found = self.keepers.iter_mut().find(|(other, _)| *other == guard);
            found.expect("a guard").1.finish(now, &request);
        }
    }
}

fn answered() -> Finish {
    Finish::Ended(KeyEnd::Answered {
        status: 201,
        stored: None,
    })
}

#[test]
fn a_resend_is_refused_with_the_state_of_the_first_call() {
    let mut guards = GuardFixture::new(None);
    let (first, state) = guards.claim_all(NOW, 1, REQUEST);
    assert_eq!(state, ClaimState::Won);
    let (_, state) = guards.claim_all(NOW, 1, REQUEST);
    assert_eq!(state, ClaimState::Lost(ClaimLoss::Running));
    guards.finish(NOW, &first, &answered());
    let (_, state) = guards.claim_all(NOW, 1, REQUEST);
    let loss = ClaimLoss::Answered {
        status: 201,
        stored: None,
    };
    assert_eq!(loss.reason(), RefusalReason::AlreadyRun);
    assert_eq!(state, ClaimState::Lost(loss));
}

#[test]
fn the_end_of_a_call_that_broke_off_or_was_not_reported_is_unknown() {
    let mut guards = GuardFixture::new(None);
    let (first, _) = guards.claim_all(NOW, 1, REQUEST);
    guards.finish(NOW, &first, &Finish::Ended(KeyEnd::MayHaveRun));
    let (_, state) = guards.claim_all(NOW, 1, REQUEST);
    assert_eq!(state, ClaimState::Lost(ClaimLoss::Unknown));
    assert_eq!(ClaimLoss::Unknown.outcome(), Outcome::MayHaveRun);
    // The entry node of this call died, so nobody reports its end.
    let _ = guards.claim_all(NOW, 2, REQUEST);
    let later = NOW + Duration::from_secs(11);
    let (_, state) = guards.claim_all(later, 2, REQUEST);
    assert_eq!(state, ClaimState::Lost(ClaimLoss::Unknown));
}

#[test]
fn a_released_key_is_granted_again() {
    let mut guards = GuardFixture::new(None);
    let (first, _) = guards.claim_all(NOW, 1, REQUEST);
    guards.finish(NOW, &first, &Finish::Released);
    let (_, state) = guards.claim_all(NOW, 1, REQUEST);
    assert_eq!(state, ClaimState::Won);
}

#[test]
fn a_key_used_with_another_request_is_refused_as_reused() {
    let mut guards = GuardFixture::new(None);
    let (first, _) = guards.claim_all(NOW, 1, REQUEST);
    let (_, state) = guards.claim_all(NOW, 1, OTHER_REQUEST);
    assert_eq!(state, ClaimState::Lost(ClaimLoss::Reused));
    guards.finish(NOW, &first, &answered());
    let (_, state) = guards.claim_all(NOW, 1, OTHER_REQUEST);
    assert_eq!(state, ClaimState::Lost(ClaimLoss::Reused));
}

#[test]
fn of_two_racing_claims_at_most_one_wins() {
    let mut guards = GuardFixture::new(None);
    let mut left = guards.claim(NOW, 1, REQUEST);
    let mut right = guards.claim(NOW, 1, REQUEST);
    guards.ask(NOW, &mut left, &[0]);
    guards.ask(NOW, &mut right, &[1]);
    // The third guard is down: neither claim can win, and neither may be reported as not having
    // run.
    guards.ask(NOW, &mut left, &[1]);
    guards.ask(NOW, &mut right, &[0]);
    assert_eq!(*left.state(), ClaimState::Asking);
    left.mark_unreachable(&guard(2));
    right.expire(NOW + Duration::from_secs(5));
    for claim in [&left, &right] {
        assert_eq!(*claim.state(), ClaimState::Lost(ClaimLoss::Running));
    }
    // A lost claim asks for no more votes.
    assert!(left.requests().is_empty());
}

#[test]
fn a_claim_counts_one_vote_per_guard_and_ignores_late_votes() {
    let mut guards = GuardFixture::new(None);
    let mut claim = guards.claim(NOW, 1, REQUEST);
    let (first, request) = claim.requests().swap_remove(0);
    let answer = guards.keepers[0].1.claim(NOW, &request);
    claim.record_vote(NOW, &first, answer.clone());
    claim.record_vote(NOW, &first, answer);
    assert_eq!(*claim.state(), ClaimState::Asking);
    let late = claim.give_up_at();
    let state = guards.ask(late, &mut claim, &[0, 1, 2]);
    assert_eq!(state, ClaimState::Asking);
    claim.expire(late);
    assert!(matches!(claim.state(), ClaimState::Lost(_)));
}

#[test]
fn after_a_loss_only_provably_newer_keys_are_granted() {
    let mut guards = GuardFixture::new(Some(NOW));
    let later = NOW + Duration::from_mins(2);
    let mut state_of = |now, key, time| {
        let mut claim = guards.claim_at(now, key, REQUEST, time);
        guards.ask(now, &mut claim, &[0, 1, 2])
    };
    let unknown = ClaimState::Lost(ClaimLoss::Unknown);
    assert_eq!(state_of(later, 1, None), unknown);
    assert_eq!(state_of(later, 2, Some(NOW + CLOCK_SKEW_MARGIN)), unknown);
    let surely_newer = NOW + CLOCK_SKEW_MARGIN + Duration::from_millis(1);
    assert_eq!(state_of(later, 3, Some(surely_newer)), ClaimState::Won);
    // A time in the future proves nothing.
    assert_eq!(
        state_of(later, 4, Some(later + Duration::from_mins(1))),
        unknown
    );
    let after_window = NOW + KEY_WINDOW + CLOCK_SKEW_MARGIN;
    assert_eq!(state_of(after_window, 5, None), ClaimState::Won);
}

/// A grant made before a loss must not count after it: the guards that died may have granted the
/// key to another claim, although the surviving guard granted it to this one.
#[test]
fn a_vote_from_before_a_loss_does_not_count_after_it() {
    let mut guards = GuardFixture::new(None);
    let mut claim = guards.claim(NOW, 1, REQUEST);
    guards.ask(NOW, &mut claim, &[0]);
    guards.set.epoch = 2;
    guards.set.lost_at = Some(NOW);
    guards.set.previous = vec![guard(0)];
    for guard in &mut guards.set.guards[1..] {
        guard.incarnation = Incarnation::new(2);
    }
    let table = GuardTable::from([(GuardSlot::from_hash(0), guards.set.clone())]);
    for ((guard, keeper), newest) in guards.keepers.iter_mut().zip(&guards.set.guards) {
        if guard != newest {
            *keeper = GuardKeeper::new(newest.node.clone(), newest.incarnation);
        }
        *guard = newest.clone();
        keeper.sync(&table);
    }
    for at in 1..3 {
        for (source, request) in guards.keepers[at].1.copy_requests() {
            let answer = guards.keepers[0].1.answer_copy_request(NOW, &request);
            let answer = answer.expect("the survivor answers");
            guards.keepers[at].1.apply_copy(&source, answer);
        }
        assert_eq!(guards.keepers[at].1.acks().len(), 1);
    }
    // A majority would report the key as used with another request, but the dead guards may have
    // granted it to this one.
    let (_, state) = guards.claim_all(NOW, 1, OTHER_REQUEST);
    assert_eq!(state, ClaimState::Lost(ClaimLoss::Unknown));
    claim.restart(&guards.set);
    claim.restart(&guards.set);
    let state = guards.ask(NOW, &mut claim, &[0, 1, 2]);
    assert_eq!(state, ClaimState::Lost(ClaimLoss::Unknown));
}

#[test]
fn a_key_with_an_embedded_time_is_not_granted_again_after_the_window() {
    let mut guards = GuardFixture::new(None);
    let mut claim = guards.claim_at(NOW, 1, REQUEST, Some(NOW));
    assert_eq!(guards.ask(NOW, &mut claim, &[0, 1, 2]), ClaimState::Won);
    guards.finish(NOW, &claim, &answered());
    let later = NOW + KEY_WINDOW * 2;
    let mut resend = guards.claim_at(later, 1, REQUEST, Some(NOW));
    let state = guards.ask(later, &mut resend, &[0, 1, 2]);
    assert_eq!(state, ClaimState::Lost(ClaimLoss::Unknown));
    assert!(guards.keepers.iter().all(|(_, keeper)| keeper.is_empty()));
}

#[test]
fn stored_answers_are_returned_within_the_size_limits() {
    let mut guards = GuardFixture::new(None);
    let answered_with = |bytes| {
        let body = vec![b'x'; bytes];
        let stored = StoredAnswer {
            content_type: None,
            body,
        };
        Finish::Ended(KeyEnd::Answered {
            status: 201,
            stored: Some(Box::new(stored)),
        })
    };
    let mut kept = |key, bytes| {
        let (claim, _) = guards.claim_all(NOW, key, REQUEST);
        guards.finish(NOW, &claim, &answered_with(bytes));
        let (_, state) = guards.claim_all(NOW, key, REQUEST);
        match state {
            ClaimState::Lost(ClaimLoss::Answered {
                status: 201,
                stored,
            }) => stored.map(|stored| stored.body.len()),
            state => panic!("not answered: {state:?}"),
        }
    };
    assert_eq!(kept(0, MAX_STORED_BODY_BYTES), Some(MAX_STORED_BODY_BYTES));
    assert_eq!(kept(1, MAX_STORED_BODY_BYTES + 1), None);
    let all: Vec<_> = (2..1_000).map(|key| kept(key, 1_000)).collect();
    let bytes: usize = all.iter().flatten().sum();
    assert!(bytes <= 256 * 1_024 && bytes > 250 * 1_024, "{bytes}");
}

#[test]
fn a_full_guard_refuses_new_keys_and_keeps_its_records() {
    let mut guards = GuardFixture::new(None);
    for key in 0..MAX_KEYS_PER_SLOT as u64 {
        assert_eq!(guards.claim_all(NOW, key, REQUEST).1, ClaimState::Won);
    }
    let (_, state) = guards.claim_all(NOW, u64::MAX, REQUEST);
    assert_eq!(state, ClaimState::Lost(ClaimLoss::Full));
    assert_eq!(ClaimLoss::Full.outcome(), Outcome::DidNotRun);
    let (_, state) = guards.claim_all(NOW, 0, REQUEST);
    assert_eq!(state, ClaimState::Lost(ClaimLoss::Running));
}

#[test]
fn a_restarted_guard_and_an_older_epoch_grant_nothing() {
    let mut guards = GuardFixture::new(None);
    let mut claim = guards.claim(NOW, 1, REQUEST);
    for (_, keeper) in &mut guards.keepers[..2] {
        *keeper = GuardKeeper::new(guard(0).node, Incarnation::new(2));
    }
    let state = guards.ask(NOW, &mut claim, &[0, 1, 2]);
    assert_eq!(state, ClaimState::Lost(ClaimLoss::Unknown));

    let mut guards = GuardFixture::new(None);
    let mut claim = guards.claim(NOW, 2, REQUEST);
    guards.set.epoch = 2;
    guards.set.previous = guards.set.guards.clone();
    guards.set.previous_epoch = 1;
    let table = GuardTable::from([(GuardSlot::from_hash(0), guards.set.clone())]);
    for (_, keeper) in &mut guards.keepers {
        keeper.sync(&table);
        assert!(keeper.acks().is_empty());
    }
    let state = guards.ask(NOW, &mut claim, &[0, 1, 2]);
    assert_eq!(state, ClaimState::Stale { epoch: 2 });
    assert_eq!(*claim.restart(&guards.set), ClaimState::Asking);
    // No guard has copied the records yet.
    let state = guards.ask(NOW, &mut claim, &[0, 1, 2]);
    assert_eq!((state, claim.requests().len()), (ClaimState::Asking, 3));
}

#[test]
fn a_vote_of_an_older_epoch_does_not_count_in_a_newer_one() {
    let mut guards = GuardFixture::new(None);
    let mut claim = guards.claim(NOW, 1, REQUEST);
    let mut late_answers = Vec::new();
    for (guard, request) in claim.requests() {
        let found = guards.keepers.iter_mut().find(|(other, _)| *other == guard);
        let answer = found.expect("a guard").1.claim(NOW, &request);
        late_answers.push((guard, answer));
    }
    guards.set.epoch = 2;
    claim.restart(&guards.set);
    for (guard, answer) in late_answers {
        assert_eq!(*claim.record_vote(NOW, &guard, answer), ClaimState::Asking);
    }
}

/// Guards that were never active do promise, but their records do not prove that a key is unused.
#[test]
fn copies_from_incomplete_guards_activate_no_guard() {
    let guards = GuardFixture::new(None);
    let slot = GuardSlot::from_hash(0);
    let mut set = guards.set.clone();
    set.epoch = 2;
    set.previous.clone_from(&set.guards);
    set.previous_epoch = 1;
    set.guards = vec![guard(3)];
    let mut joiner = GuardKeeper::new(guard(3).node, guard(3).incarnation);
    joiner.sync(&GuardTable::from([(slot, set)]));
    for (at, (source, request)) in joiner.copy_requests().into_iter().enumerate() {
        let mut newcomer = GuardKeeper::new(source.node.clone(), source.incarnation);
        let mut active = guards.keepers[at].1.clone();
        let answerer = if at < 2 { &mut newcomer } else { &mut active };
        let answer = answerer
            .answer_copy_request(NOW, &request)
            .expect("its own incarnation");
        joiner.apply_copy(&source, answer);
        assert_eq!(joiner.acks().len(), usize::from(at == 2));
    }
}

#[test]
fn a_guard_that_promised_grants_nothing_in_the_older_epoch() {
    let mut guards = GuardFixture::new(None);
    let mut claim = guards.claim(NOW, 1, REQUEST);
    for at in 0..2 {
        let request = CopyRequest {
            to: Incarnation::new(1),
            slot: GuardSlot::from_hash(0),
            epoch: 2,
        };
        assert!(
            guards.keepers[at]
                .1
                .answer_copy_request(NOW, &request)
                .is_some()
        );
    }
    let state = guards.ask(NOW, &mut claim, &[0, 1, 2]);
    assert_eq!(state, ClaimState::Stale { epoch: 2 });
}

#[test]
fn only_uuids_of_version_7_have_a_time() {
    let key = "01935f4a-7c00-7abc-8def-0123456789ab";
    let time = uuid_v7_time(key).expect("a UUIDv7");
    assert_eq!(time.as_millis(), 0x0193_5f4a_7c00);
    assert_eq!(uuid_v7_time(&format!("\"{key}\"")), Some(time));
    for other in [
        "01935f4a-7c00-4abc-8def-0123456789ab",
        "01935f4a-7c00-7abc-0def-0123456789ab",
        "01935f4a7c007abc8def0123456789ab",
        "01935f4a-7c00-7abc-8def-0123456789aé",
        "",
    ] {
        assert_eq!(uuid_v7_time(other), None, "{other}");
    }
}
