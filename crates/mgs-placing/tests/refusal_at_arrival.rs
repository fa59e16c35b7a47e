//! Which prompts are refused when they arrive, and what gateways know of each other's queues.

use mgs_fleet::view::EndpointKey;
use mgs_placing::choose::choose_engines;
use mgs_placing::choose::RandomDraw;
use mgs_placing::dispatch::DispatchDecision;
use mgs_placing::dispatch::DispatchOptions;
use mgs_placing::dispatch::WaitingPrompt;
use mgs_placing::load_table::LoadTable;
use mgs_placing::load_table::PeerKey;
use mgs_placing::model::EngineModel;
use mgs_placing::need::Need;
use mgs_placing::options::PlacementOptions;
use mgs_placing::placement::Candidate;
use mgs_placing::queue_demand::BandDemand;
use mgs_placing::queue_demand::DemandAhead;
use mgs_placing::queue_demand::GatewayDemand;
use mgs_placing::queue_demand::QueueDemand;
use mgs_placing::queue_demand::QueuedPrompt;
use mgs_placing::queue_demand::ScoreBand;
use mgs_placing::queue_order::QueueHeads;
use mgs_placing::queue_order::Score;
use mgs_placing::refusal_at_arrival::is_refused_at_arrival;
use mgs_placing::refusal_at_arrival::room_in_ms;
use mgs_placing::refusal_at_arrival::Estimate;
use mgs_placing::refusal_at_arrival::RefusalOptions;
use rstest::rstest;

/// Number of engines.
const ENGINES: u32 = 60;

/// Score of the prompts that go ahead.
const AHEAD: Score = Score(300);

/// Score of a prompt that arrives.
const OWN: Score = Score(500);

/// A time at which rates are known to a gateway that starts at 0, in milliseconds.
const LATER_MS: f64 = 1_500.0;

fn long_prompt() -> Need {
    Need {
        prompt_tokens: 190_000,
        output_tokens: 720,
        expected_tokens: 720,
        pause_ms: 1_000.0,
        ttft_target_ms: 3_000.0,
        ttft_left_ms: 3_000.0,
        deadline_left_ms: 15_000.0,
        patience_ms: 12_000.0,
    }
}

fn short_prompt(ttft_left_ms: f64) -> Need {
    Need {
        prompt_tokens: 5_000,
        output_tokens: 1_500,
        expected_tokens: 1_500,
        pause_ms: 250.0,
        ttft_target_ms: 300.0,
        ttft_left_ms,
        deadline_left_ms: 10_000.0,
        patience_ms: 2_000.0,
    }
}

/// Whether a prompt that arrives behind this demand and for which `decision` was made is refused.
fn is_refused(need: &Need, decision: DispatchDecision, ahead: &DemandAhead) -> bool {
    judge(need, decision, ahead).0
}

/// The same, and the time after which it may find room, in milliseconds.
fn judge(need: &Need, decision: DispatchDecision, ahead: &DemandAhead) -> (bool, f64) {
    let model = EngineModel::default();
    let candidates: Vec<Candidate> = (0..ENGINES)
        .map(|key| Candidate::of(EndpointKey(key)))
        .collect();
    let placement = choose_engines(
        need,
        &candidates,
        &LoadTable::new(),
        &model,
        &PlacementOptions::default(),
        RandomDraw::default(),
        0.0,
    )
    .expect("a placement");
    let waiting = WaitingPrompt {
        need,
        placement: &placement,
        model: &model,
        score: OWN,
        others: QueueHeads::default(),
        ahead: 0,
        spare_per_s: 0.0,
        gateways: 48,
    };
    let (dispatch_options, options) = (DispatchOptions::default(), RefusalOptions::default());
    let estimate = Estimate::of(
        &waiting,
        ahead,
        ENGINES as usize,
        &dispatch_options,
        &options,
    );
    let is_refused =
        is_refused_at_arrival(&waiting, decision, &estimate, &dispatch_options, &options);
    let room_ms = room_in_ms(&waiting, &estimate, &dispatch_options, &options);
    (is_refused, room_ms)
}

/// Demand of prompts that queue and go ahead.
fn ahead(waiting_ms: f64, asked_engines: f64, asked_engines_of_all: f64) -> DemandAhead {
    DemandAhead {
        waiting_ms,
        waiting_ms_of_all: waiting_ms,
        asked_engines,
        asked_engines_of_all,
        ..DemandAhead::default()
    }
}

/// Guards against prompts that wait for seconds and are refused in the end, and against refusals of
/// prompts that get their turn, on time or late.
#[rstest]
#[case::soon_its_turn(ahead(20_000.0, 0.0, 30.0), false)]
#[case::too_much_waits_for_any_answer(ahead(900_000.0, 0.0, 30.0), true)]
#[case::late_but_engines_have_time(ahead(200_000.0, 0.0, 30.0), false)]
#[case::late_and_engines_have_no_time(ahead(200_000.0, 0.0, 58.0), true)]
#[case::overtaken_by_all_that_engines_can_do(ahead(0.0, 40.0, 70.0), true)]
#[case::busy_but_first(ahead(0.0, 5.0, 70.0), false)]
fn a_long_prompt_that_can_not_be_served_is_refused(
    #[case] ahead: DemandAhead,
    #[case] refused: bool,
) {
    let is_refused = is_refused(&long_prompt(), DispatchDecision::Wait, &ahead);
    assert_eq!(is_refused, refused);
}

/// Guards against the refusal of a prompt whose engines are ready.
#[test]
fn a_long_prompt_that_needs_not_wait_is_not_refused() {
    let ahead = ahead(900_000.0, 60.0, 90.0);
    assert!(!is_refused(
        &long_prompt(),
        DispatchDecision::Dispatch,
        &ahead
    ));
}

/// Guards against late short prompts that take the time of others under overload, and against their
/// refusal when engines have time.
#[rstest]
#[case::late_in_overload(20.0, 70.0, true)]
#[case::late_otherwise(20.0, 50.0, false)]
#[case::on_time_in_overload(300.0, 70.0, false)]
fn a_late_short_prompt_is_refused_under_overload_only(
    #[case] ttft_left_ms: f64,
    #[case] asked_engines_of_all: f64,
    #[case] refused: bool,
) {
    let need = short_prompt(ttft_left_ms);
    let ahead = ahead(0.0, 0.0, asked_engines_of_all);
    let is_refused = is_refused(&need, DispatchDecision::Dispatch, &ahead);
    assert_eq!(is_refused, refused);
}

/// Guards against clients that are told to return into the same overload: each return counted as
/// further demand, by which the next were refused, and of 652 short prompts in two seconds 199 were.
#[rstest]
#[case::little_excess(66.0, 150.0, 250.0)]
#[case::half_as_much_again(90.0, 700.0, 900.0)]
#[case::twice_the_capacity(120.0, 1_300.0, 1_500.0)]
fn a_refused_short_prompt_may_return_once_the_excess_has_passed(
    #[case] asked_engines_of_all: f64,
    #[case] least_ms: f64,
    #[case] most_ms: f64,
) {
    let ahead = ahead(0.0, 0.0, asked_engines_of_all);
    let (is_refused, room_ms) = judge(&short_prompt(20.0), DispatchDecision::Dispatch, &ahead);
    assert!(is_refused);
    assert!((least_ms..=most_ms).contains(&room_ms), "{room_ms}");
}

/// The demand of a peer with one waiting prompt.
fn peer_demand() -> GatewayDemand {
    GatewayDemand {
        short_ms_per_s: 1_000,
        bands: vec![BandDemand {
            band: ScoreBand::of(AHEAD),
            waiting_ms: 4_000,
            asked_ms_per_s: 2_000,
        }],
    }
}

/// Guards against a gateway that sees only its own part of the queue, and against figures that count
/// after their gateway has ended.
#[test]
fn the_demand_of_a_peer_counts_until_it_is_dropped() {
    let mut demand = QueueDemand::started_at(0.0);
    assert!(!demand.record_peer(LATER_MS, PeerKey(1), 1, peer_demand()));
    let before = demand.ahead_of(OWN, &[], LATER_MS + 100.0);
    let expected = DemandAhead {
        waiting_ms: 4_000.0,
        waiting_ms_of_all: 4_000.0,
        asked_engines: 2.0,
        asked_engines_of_short: 1.0,
        asked_engines_of_all: 3.0,
        oldest_report_ms: 100.0,
    };
    assert_eq!(before, expected);
    demand.drop_peer(PeerKey(1));
    let after = demand.ahead_of(OWN, &[], LATER_MS + 100.0);
    assert_eq!(after, DemandAhead::default());
}

/// Guards against figures that count although their gateway, which has no demand any more, sends none.
#[test]
fn an_old_report_does_not_count() {
    let mut demand = QueueDemand::started_at(0.0);
    demand.record_peer(LATER_MS, PeerKey(1), 1, peer_demand());
    let ahead = demand.ahead_of(OWN, &[], LATER_MS + 1_300.0);
    assert_eq!(ahead, DemandAhead::default());
}

/// Guards against prompts that go behind counting as ahead.
#[test]
fn what_waits_behind_a_prompt_is_not_ahead_of_it() {
    let mut demand = QueueDemand::started_at(0.0);
    demand.record_peer(LATER_MS, PeerKey(1), 1, peer_demand());
    let others = [QueuedPrompt {
        score: OWN,
        prefill_ms: 3_000.0,
    }];
    let ahead = demand.ahead_of(Score(100), &others, LATER_MS);
    assert_eq!(ahead.waiting_ms, 0.0);
    assert_eq!(ahead.asked_engines, 0.0);
    assert_eq!(ahead.waiting_ms_of_all, 7_000.0);
}

/// Guards against refusals by the rates of a gateway that has just started: its decayed counts mean
/// nothing yet.
#[test]
fn rates_do_not_count_in_the_first_second() {
    let mut demand = QueueDemand::started_at(0.0);
    demand.record_peer(500.0, PeerKey(1), 1, peer_demand());
    demand.record_short(500.0, 10_000.0);
    let ahead = demand.ahead_of(OWN, &[], 900.0);
    assert_eq!(ahead.asked_engines_of_all, 0.0);
    assert_eq!(ahead.waiting_ms, 4_000.0);
}

/// Guards against a report that arrives after a newer one.
#[test]
fn the_newest_report_of_a_peer_counts() {
    let mut demand = QueueDemand::started_at(0.0);
    demand.record_peer(LATER_MS, PeerKey(1), 2, GatewayDemand::default());
    demand.record_peer(LATER_MS, PeerKey(1), 1, peer_demand());
    assert_eq!(demand.ahead_of(OWN, &[], LATER_MS).waiting_ms, 0.0);
}

/// Guards against a peer whose faulty figures make all others refuse their prompts.
#[test]
fn implausible_figures_of_a_peer_are_dropped() {
    let mut demand = QueueDemand::started_at(0.0);
    let implausible = GatewayDemand {
        short_ms_per_s: u32::MAX,
        ..peer_demand()
    };
    assert!(demand.record_peer(LATER_MS, PeerKey(1), 1, implausible));
    assert_eq!(demand.ahead_of(OWN, &[], LATER_MS), DemandAhead::default());
}

/// Guards against a report that differs from what the gateway itself knows, and against one that is
/// sent though there is no demand.
#[test]
fn a_report_states_what_waits_and_is_asked_for() {
    let mut demand = QueueDemand::started_at(0.0);
    assert!(demand.report(&[], 0.0).is_empty());
    let waiting = QueuedPrompt {
        score: AHEAD,
        prefill_ms: 4_000.0,
    };
    demand.record_long(LATER_MS, waiting);
    demand.record_short(LATER_MS, 2_000.0);
    let report = demand.report(&[waiting], LATER_MS);
    assert_eq!(report, peer_demand());
    let long_after_ms = LATER_MS + 60_000.0;
    assert!(demand.report(&[], long_after_ms).is_empty());
}
