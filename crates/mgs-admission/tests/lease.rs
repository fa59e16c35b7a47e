//! Bounds on the sum of the leased limits while gateways join, leave and lose their connections.

use std::collections::BTreeMap;

use mgs_admission::lease::home_gateway;
use mgs_admission::lease::LeaseGrantor;
use mgs_admission::lease::LeaseHolder;
use mgs_admission::lease::Limits;
use mgs_admission::lease::Options;
use mgs_schema::wire::LimitLeaseRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const LIMIT_PER_S: f64 = 1_000.0;
const STEP_MS: u64 = 100;
const SETTLE_MS: u64 = 4_000;

/// A simulated set of gateways with their lists of live gateways and their connections.
#[derive(Debug, Default)]
struct Gateways {
    now_ms: u64,
    holders: BTreeMap<u64, LeaseHolder>,
    grantors: BTreeMap<u64, LeaseGrantor>,
    /// Gateways that are each cut off from all others.
    partitioned: Vec<u64>,
    /// The list of live gateways that each gateway holds.
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
    let found = home_gateway("org-1", "chat", &names).expect("there are gateways");
    found.parse().expect("names are numbers")
}

impl Gateways {
    fn new(count: u64) -> Self {
        let mut gateways = Self::default();
        let all: Vec<u64> = (1..=count).collect();
        for gateway in &all {
            gateways.holders.insert(*gateway, LeaseHolder::default());
        }
        gateways.publish(&all);
        gateways
    }

    /// Replaces the list of live gateways at all gateways.
    fn publish(&mut self, list: &[u64]) {
        self.holders.retain(|gateway, _| list.contains(gateway));
        for gateway in list {
            self.holders.entry(*gateway).or_default();
            self.lists.insert(*gateway, list.to_vec());
        }
        self.lists.retain(|gateway, _| list.contains(gateway));
        let home = home_of(list);
        self.grantors.retain(|gateway, _| *gateway == home);
    }

    fn reaches(&self, a: u64, b: u64) -> bool {
        a == b || !(self.partitioned.contains(&a) || self.partitioned.contains(&b))
    }

    /// Lets each gateway whose lease is due request a new one. Returns the sum of the admitted rates.
    fn step(&mut self) -> f64 {
        self.now_ms += STEP_MS;
        let options = Options::default();
        let all: Vec<u64> = self.holders.keys().copied().collect();
        for gateway in &all {
            let list = self.lists[gateway].clone();
            let home = home_of(&list);
            let due = self.holders[gateway].is_renewal_due(self.now_ms, &options);
            if !due || !self.reaches(*gateway, home) || !self.holders.contains_key(&home) {
                continue;
            }
            let now_ms = self.now_ms;
            let grantor = self
                .grantors
                .entry(home)
                .or_insert_with(|| LeaseGrantor::new(now_ms, options));
            let request = LimitLeaseRequest {
                gateway_incarnation: *gateway,
                wanted_requests_per_s: self.wanted_per_s.get(gateway).copied().unwrap_or(0.0),
                ..LimitLeaseRequest::default()
            };
            let live = &self.lists[&home];
            let lease = grantor.grant(now_ms, &limits(), live, &request);
            let holder = self
                .holders
                .get_mut(gateway)
                .expect("each gateway has a lease holder");
            holder.accept(now_ms, &lease);
        }
        self.sum()
    }

    fn admitted_rate(&self, gateway: u64) -> f64 {
        let live = self.lists[&gateway].len();
        let limits = self.holders[&gateway].effective_limits(self.now_ms, &limits(), live);
        limits.requests_per_s
    }

    fn sum(&self) -> f64 {
        self.holders
            .keys()
            .map(|gateway| self.admitted_rate(*gateway))
            .sum()
    }

    fn settle(&mut self) {
        for _ in 0..SETTLE_MS / STEP_MS {
            self.step();
        }
    }
}

fn within_limit(sum: f64, factor: f64) -> bool {
    sum <= LIMIT_PER_S * factor * 1.000_001
}

#[test]
fn a_busy_gateway_gets_the_shares_of_idle_ones() {
    let mut gateways = Gateways::new(4);
    gateways.wanted_per_s.insert(1, 5_000.0);
    gateways.settle();
    gateways.settle();
    assert!(
        gateways.admitted_rate(1) > 0.9 * LIMIT_PER_S,
        "{}",
        gateways.admitted_rate(1)
    );
    assert!(within_limit(gateways.sum(), 1.0));
}

#[test]
fn two_busy_gateways_share_by_demand() {
    let mut gateways = Gateways::new(4);
    gateways.wanted_per_s.insert(1, 3_000.0);
    gateways.wanted_per_s.insert(2, 1_000.0);
    gateways.settle();
    gateways.settle();
    let ratio = gateways.admitted_rate(1) / gateways.admitted_rate(2);
    assert!((2.0..4.0).contains(&ratio), "{ratio}");
    assert!(within_limit(gateways.sum(), 1.0));
}

#[test]
fn a_partitioned_gateway_uses_its_even_share_within_the_limit() {
    let mut gateways = Gateways::new(4);
    for gateway in 1..=4 {
        gateways
            .wanted_per_s
            .insert(gateway, 1_000.0 * gateway as f64);
    }
    gateways.settle();
    let home = home_of(&[1, 2, 3, 4]);
    let partitioned = if home == 2 { 3 } else { 2 };
    gateways.partitioned.push(partitioned);
    for _ in 0..100 {
        let sum = gateways.step();
        assert!(within_limit(sum, 1.0), "{sum}");
    }
    assert_eq!(gateways.admitted_rate(partitioned), LIMIT_PER_S / 4.0);
}

#[test]
fn without_a_reachable_home_gateway_all_use_their_even_share() {
    let mut gateways = Gateways::new(4);
    gateways.settle();
    gateways.partitioned = vec![1, 2, 3, 4];
    let home = home_of(&[1, 2, 3, 4]);
    gateways.settle();
    for gateway in (1..=4).filter(|g| *g != home) {
        assert_eq!(gateways.admitted_rate(gateway), LIMIT_PER_S / 4.0);
    }
    assert!(within_limit(gateways.sum(), 1.0));
}

#[rstest]
fn membership_changes_and_partitions_stay_within_the_bound(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut gateways = Gateways::new(4);
    gateways.settle();
    let mut next = 5;
    let mut changed_ms = 0;
    let mut worst = 0.0f64;
    let mut worst_changing = 0.0f64;
    for _ in 0..2_000 {
        let mut list: Vec<u64> = gateways.holders.keys().copied().collect();
        let before = (list.clone(), gateways.partitioned.clone());
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
            2 => gateways.partitioned = vec![list[rng.random_range(0..list.len())]],
            3 => gateways.partitioned.clear(),
            4..8 => {
                let gateway = list[rng.random_range(0..list.len())];
                let wanted = rng.random_range(0.0..3_000.0);
                gateways.wanted_per_s.insert(gateway, wanted);
            }
            _ => {}
        }
        let list: Vec<u64> = gateways.holders.keys().copied().collect();
        if before != (list, gateways.partitioned.clone()) {
            changed_ms = gateways.now_ms;
        }
        let sum = gateways.step();
        if gateways.now_ms <= changed_ms + 2 * Options::default().valid_ms {
            worst_changing = worst_changing.max(sum);
        } else {
            worst = worst.max(sum);
        }
    }
    assert!(within_limit(worst, 1.0), "{worst}");
    assert!(within_limit(worst_changing, 2.0), "{worst_changing}");
}

#[rstest]
#[case::two_lists(2)]
#[case::four_lists(4)]
fn differing_lists_multiply_the_limit_at_most_by_their_number(#[case] groups: u64) {
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
        assert!(within_limit(sum, groups as f64), "{sum}");
    }
}
