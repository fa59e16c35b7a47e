//! Keyed requests over several gateways, with faults of store, gateway and endpoint.

mod common;

use std::sync::Arc;
use std::thread;

use rstest::rstest;

use mgs_durable::claim::Claimed;
use mgs_durable::durable::Durable;
use mgs_durable::entry::Ending;
use mgs_durable::executor::Answer;
use mgs_durable::executor::Permit;
use mgs_durable::executor::Permits;
use mgs_durable::tenure::Tenure;
use mgs_schema::wire::RefusalReason;
use mgs_standin::platform::faults::Settings;
use mgs_standin::platform::memory::Memory;

use common::answered;
use common::asked;
use common::gateway;
use common::options;
use common::wait_until;
use common::Site;

const BODY: &[u8] = b"two pallets of roof tiles";

fn held(claimed: Claimed) -> Tenure {
    match claimed {
        Claimed::Run(tenure) => tenure,
        other => panic!("expected a run, got {other:?}"),
    }
}

/// Does what a gateway does with a keyed request.
fn serve(durable: &Durable, site: &Site, number: u64, key: &str) -> Option<Answer> {
    match durable.claim(&asked(key, BODY)) {
        Claimed::Run(tenure) => {
            let target = site.target(number);
            match tenure.before_dispatch(&target) {
                Permit::Go => {}
                // Another gateway has the request now; its answer is this caller's too.
                Permit::Lost => return serve(durable, site, number, key),
                _ => {
                    tenure.finish(Answer::without_body(Ending::Refused, "store_unavailable"));
                    return None;
                }
            }
            if !site.start(&target) {
                tenure.finish(Answer::without_body(Ending::Refused, "withdrawn"));
                return serve(durable, site, number, key);
            }
            let answer = site.finish(&target, BODY);
            tenure.finish(answer.clone());
            Some(answer)
        }
        Claimed::Resume(tenure, target) => {
            let answer = site.read(&target);
            tenure.finish(answer.clone());
            Some(answer)
        }
        Claimed::Replay(answer) => Some(answer),
        _ => None,
    }
}

#[test]
fn repeats_at_two_gateways_at_once_run_once() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let first = gateway(options(1), &memory, &site);
    let second = gateway(options(2), &memory, &site);
    let answers: Vec<Option<Answer>> = thread::scope(|scope| {
        let callers: Vec<_> = (0..8)
            .map(|caller| {
                let (durable, number) = [(&first, 1), (&second, 2)][caller % 2];
                let site = &site;
                scope.spawn(move || serve(durable, site, number, "order-7"))
            })
            .collect();
        callers
            .into_iter()
            .map(|caller| caller.join().unwrap())
            .collect()
    });
    assert_eq!(answers, vec![Some(answered(BODY)); 8]);
    assert_eq!(site.executions(), 1);
}

#[test]
fn lost_replies_neither_double_nor_lose() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let first = gateway(options(1), &memory, &site);
    let second = gateway(options(2), &memory, &site);
    memory.faults().set(Settings {
        lose_every: 3,
        ..Settings::default()
    });
    for order in 0..20 {
        let key = format!("order-{order}");
        for (durable, number) in [(&first, 1), (&second, 2)] {
            let answer = serve(durable, &site, number, &key);
            assert_eq!(answer, Some(answered(BODY)), "{key} at gateway {number}");
        }
    }
    assert_eq!(site.executions(), 20);
    assert!(memory.faults().counters().replies_lost > 20);
}

#[test]
fn a_key_serves_one_body_only() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let durable = gateway(options(1), &memory, &site);
    assert!(serve(&durable, &site, 1, "k").is_some());
    let other = durable.claim(&asked("k", b"another body"));
    let Claimed::Refused { reason, .. } = other else {
        panic!("expected a refusal, got {other:?}");
    };
    assert_eq!(reason, RefusalReason::KeyConflict);
}

#[test]
fn in_an_outage_only_what_may_run_twice_runs() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let durable = gateway(options(1), &memory, &site);
    memory.faults().set_outage(true);
    let refused = durable.claim(&asked("k", BODY));
    let Claimed::Refused { reason, .. } = refused else {
        panic!("expected a refusal, got {refused:?}");
    };
    assert_eq!(reason, RefusalReason::StoreUnavailable);
    let mut idempotent = asked("k2", BODY);
    idempotent.idempotent = true;
    assert!(matches!(durable.claim(&idempotent), Claimed::Unclaimed));
    memory.faults().set_outage(false);
    assert!(serve(&durable, &site, 1, "k").is_some());
}

#[test]
fn an_outage_after_the_claim_forbids_the_dispatch_and_frees_the_key() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let durable = gateway(options(1), &memory, &site);
    let tenure = held(durable.claim(&asked("k", BODY)));
    memory.faults().set_outage(true);
    assert_eq!(
        tenure.before_dispatch(&site.target(1)),
        Permit::StoreUnavailable
    );
    tenure.finish(Answer::without_body(Ending::Refused, "store_unavailable"));
    memory.faults().set_outage(false);
    assert!(serve(&durable, &site, 1, "k").is_some());
    assert_eq!(site.executions(), 1);
}

/// How far a gateway came before it died, and what the endpoint did meanwhile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Death {
    Held,
    Marked,
    Started,
    Finished,
    StartedThenSidecarRestarted,
}

#[rstest]
#[case(Death::Held)]
#[case(Death::Marked)]
#[case(Death::Started)]
#[case(Death::Finished)]
#[case(Death::StartedThenSidecarRestarted)]
fn a_dead_gateway_is_followed_by_proof(#[case] death: Death) {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let first = gateway(options(1), &memory, &site);
    let second = gateway(options(2), &memory, &site);
    let tenure = held(first.claim(&asked("k", BODY)));
    let target = site.target(1);
    if death != Death::Held {
        assert_eq!(tenure.before_dispatch(&target), Permit::Go);
    }
    if !matches!(death, Death::Held | Death::Marked) {
        assert!(site.start(&target));
    }
    if death == Death::Finished {
        site.finish(&target, BODY);
    }
    if death == Death::StartedThenSidecarRestarted {
        site.restart();
    }
    // A gateway that stops without drain writes nothing more.
    drop(first);
    match second.claim(&asked("k", BODY)) {
        Claimed::Run(next) => {
            assert!(
                matches!(death, Death::Held | Death::Marked),
                "{death:?} ran again"
            );
            assert!(
                !site.start(&target) || death == Death::Held,
                "the tombstone must hold"
            );
            assert_eq!(tenure.before_dispatch(&site.target(1)), Permit::Lost);
            assert_eq!(next.before_dispatch(&site.target(2)), Permit::Go);
        }
        Claimed::Resume(_, at) => {
            assert!(
                matches!(death, Death::Started | Death::Finished),
                "{death:?}"
            );
            assert_eq!(at, target);
        }
        Claimed::Replay(answer) => {
            assert_eq!(death, Death::StartedThenSidecarRestarted);
            assert_eq!(answer.ending, Ending::Unknown);
        }
        other => panic!("{death:?}: {other:?}"),
    }
    std::mem::forget(tenure);
}

#[test]
fn a_live_holder_isnt_overtaken() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let first = gateway(options(1), &memory, &site);
    let second = gateway(options(2), &memory, &site);
    let tenure = held(first.claim(&asked("k", BODY)));
    let mut hasty = asked("k", BODY);
    hasty.budget_ms = 1_500;
    assert!(matches!(second.claim(&hasty), Claimed::Busy { .. }));
    assert_eq!(tenure.before_dispatch(&site.target(1)), Permit::Go);
}

#[test]
fn expired_claims_are_swept() {
    let (memory, site) = (Arc::new(Memory::default()), Arc::new(Site::default()));
    let mut settings = options(1);
    settings.keep_ms = 0;
    let durable = gateway(settings, &memory, &site);
    let mut brief = asked("k", BODY);
    brief.budget_ms = 200;
    let tenure = held(durable.claim(&brief));
    tenure.finish(Answer::without_body(Ending::Unknown, ""));
    wait_until("the claim is swept", || durable.metrics().swept.get() == 1);
    assert!(serve(&durable, &site, 1, "k").is_some());
}
