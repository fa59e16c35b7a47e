//! The sum of what gateways may admit, under gateways that come, go and part.

use std::collections::BTreeMap;

use mgs_admission::lease::home;
use mgs_admission::lease::Grantor;
use mgs_admission::lease::Limits;
use mgs_admission::lease::Options;
use mgs_admission::lease::Tenure;
use mgs_schema::wire::LimitLeaseRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const LIMIT_PER_S: f64 = 1_000.0;
const STEP_MS: u64 = 100;
const SETTLED_MS: u64 = 4_000;

/// Gateways that hold one list of live gateways, and reach each other.
#[derive(Debug, Default)]
struct Gateways {
    now_ms: u64,
    tenures: BTreeMap<u64, Tenure>,
    grantors: BTreeMap<u64, Grantor>,
    /// Gateways that can't reach the others, each alone.
    parted: Vec<u64>,
    /// Lists of live gateways, by the gateway that holds it.
    lists: BTreeMap<u64, Vec<u64>>,
    wanted_per_s: BTreeMap<u64, f64>,
}

fn limits() -> Limits {
    Limits {
        requests_per_s: LIMIT_PER_S,
        ..Limits::default()
    }
}

fn home_of(list: &[u64]) -> u64 {
    let names: Vec<String> = list.iter().map(u64::to_string).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let found = home("org-1", "chat", &names).expect("there are gateways");
    found.parse().expect("names are numbers")
}

impl Gateways {
    fn new(count: u64) -> Self {
        let mut gateways = Self::default();
        let all: Vec<u64> = (1..=count).collect();
        for gateway in &all {
            gateways.tenures.insert(*gateway, Tenure::default());
        }
        gateways.publish(&all);
        gateways
    }

    /// All hold this list.
    fn publish(&mut self, list: &[u64]) {
        self.tenures.retain(|gateway, _| list.contains(gateway));
        for gateway in list {
            self.tenures.entry(*gateway).or_default();
            self.lists.insert(*gateway, list.to_vec());
        }
        self.lists.retain(|gateway, _| list.contains(gateway));
        let home = home_of(list);
        self.grantors.retain(|gateway, _| *gateway == home);
    }

    fn reaches(&self, a: u64, b: u64) -> bool {
        a == b || !(self.parted.contains(&a) || self.parted.contains(&b))
    }

    /// Each gateway that is due asks its home. Returns the sum of what they may admit then.
    fn step(&mut self) -> f64 {
        self.now_ms += STEP_MS;
        let options = Options::default();
        let all: Vec<u64> = self.tenures.keys().copied().collect();
        for gateway in &all {
            let list = self.lists[gateway].clone();
            let home = home_of(&list);
            let due = self.tenures[gateway].is_due(self.now_ms, &options);
            if !due || !self.reaches(*gateway, home) || !self.tenures.contains_key(&home) {
                continue;
            }
            let now_ms = self.now_ms;
            let grantor = self
                .grantors
                .entry(home)
                .or_insert_with(|| Grantor::new(now_ms, options));
            let request = LimitLeaseRequest {
                gateway_incarnation: *gateway,
                wanted_requests_per_s: self.wanted_per_s.get(gateway).copied().unwrap_or(0.0),
                ..LimitLeaseRequest::default()
            };
            let live = &self.lists[&home];
            let lease = grantor.grant(now_ms, &limits(), live, &request);
            let tenure = self.tenures.get_mut(gateway).expect("it is there");
            tenure.take(now_ms, &lease);
        }
        self.sum()
    }

    fn may_admit(&self, gateway: u64) -> f64 {
        let live = self.lists[&gateway].len();
        let limits = self.tenures[&gateway].limits(self.now_ms, &limits(), live);
        limits.requests_per_s
    }

    fn sum(&self) -> f64 {
        self.tenures
            .keys()
            .map(|gateway| self.may_admit(*gateway))
            .sum()
    }

    fn settle(&mut self) {
        for _ in 0..SETTLED_MS / STEP_MS {
            self.step();
        }
    }
}

fn within(sum: f64, factor: f64) -> bool {
    sum <= LIMIT_PER_S * factor * 1.000_001
}

#[test]
fn a_busy_gateway_gets_what_the_idle_ones_leave() {
    let mut gateways = Gateways::new(4);
    gateways.wanted_per_s.insert(1, 5_000.0);
    gateways.settle();
    gateways.settle();
    assert!(
        gateways.may_admit(1) > 0.9 * LIMIT_PER_S,
        "{}",
        gateways.may_admit(1)
    );
    assert!(within(gateways.sum(), 1.0));
}

#[test]
fn two_busy_gateways_share() {
    let mut gateways = Gateways::new(4);
    gateways.wanted_per_s.insert(1, 3_000.0);
    gateways.wanted_per_s.insert(2, 1_000.0);
    gateways.settle();
    gateways.settle();
    let ratio = gateways.may_admit(1) / gateways.may_admit(2);
    assert!((2.0..4.0).contains(&ratio), "{ratio}");
    assert!(within(gateways.sum(), 1.0));
}

#[test]
fn a_parted_gateway_uses_its_even_part_and_no_limit_is_passed() {
    let mut gateways = Gateways::new(4);
    for gateway in 1..=4 {
        gateways
            .wanted_per_s
            .insert(gateway, 1_000.0 * gateway as f64);
    }
    gateways.settle();
    let home = home_of(&[1, 2, 3, 4]);
    let parted = if home == 2 { 3 } else { 2 };
    gateways.parted.push(parted);
    for _ in 0..100 {
        let sum = gateways.step();
        assert!(within(sum, 1.0), "{sum}");
    }
    assert_eq!(gateways.may_admit(parted), LIMIT_PER_S / 4.0);
}

#[test]
fn without_a_home_all_use_their_even_part() {
    let mut gateways = Gateways::new(4);
    gateways.settle();
    gateways.parted = vec![1, 2, 3, 4];
    let home = home_of(&[1, 2, 3, 4]);
    gateways.settle();
    for gateway in (1..=4).filter(|g| *g != home) {
        assert_eq!(gateways.may_admit(gateway), LIMIT_PER_S / 4.0);
    }
    assert!(within(gateways.sum(), 1.0));
}

#[rstest]
fn coming_going_and_parting_stay_within_the_bound(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut gateways = Gateways::new(4);
    gateways.settle();
    let mut next = 5;
    let mut changed_ms = 0;
    let mut worst = 0.0f64;
    let mut worst_changing = 0.0f64;
    for _ in 0..2_000 {
        let mut list: Vec<u64> = gateways.tenures.keys().copied().collect();
        let before = (list.clone(), gateways.parted.clone());
        match rng.random_range(0..60) {
            0 if list.len() < 8 => {
                list.push(next);
                next += 1;
                gateways.publish(&list);
            }
            1 if list.len() > 2 => {
                list.remove(rng.random_range(0..list.len()));
                gateways.publish(&list);
            }
            2 => gateways.parted = vec![list[rng.random_range(0..list.len())]],
            3 => gateways.parted.clear(),
            4..8 => {
                let gateway = list[rng.random_range(0..list.len())];
                let wanted = rng.random_range(0.0..3_000.0);
                gateways.wanted_per_s.insert(gateway, wanted);
            }
            _ => {}
        }
        let list: Vec<u64> = gateways.tenures.keys().copied().collect();
        if before != (list, gateways.parted.clone()) {
            changed_ms = gateways.now_ms;
        }
        let sum = gateways.step();
        if gateways.now_ms <= changed_ms + 2 * Options::default().valid_ms {
            worst_changing = worst_changing.max(sum);
        } else {
            worst = worst.max(sum);
        }
    }
    assert!(within(worst, 1.0), "{worst}");
    assert!(within(worst_changing, 2.0), "{worst_changing}");
}

#[rstest]
#[case::two_lists(2)]
#[case::four_lists(4)]
fn lists_that_differ_multiply_the_limit_at_most_by_their_number(#[case] groups: u64) {
    let mut gateways = Gateways::new(8);
    gateways.settle();
    for gateway in 1..=8u64 {
        let group = gateway % groups;
        let list: Vec<u64> = (1..=8).filter(|g| g % groups == group).collect();
        gateways.lists.insert(gateway, list);
        gateways.wanted_per_s.insert(gateway, 5_000.0);
    }
    for _ in 0..200 {
        let sum = gateways.step();
        assert!(within(sum, groups as f64), "{sum}");
    }
}
