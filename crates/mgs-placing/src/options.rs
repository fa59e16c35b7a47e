//! Parameters for the choice of engines. They don't depend on a deployment's sizes, speeds or
//! limits, which are declared with the engines or sent with each request.

use crate::setting_text::apply_settings;
use crate::setting_text::Setting;

/// Options of [`crate::choose::choose_engines`].
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementOptions {
    /// Least prefill time on one engine at which a prompt is shared, in passes of a decoding
    /// engine; below it the extra hop costs more than it saves.
    pub share_from_passes: f64,
    /// Most engines that prefill one prompt; engines support 16 helpers beside the lead.
    pub engines_max: usize,
    /// Largest share of all engines that may prefill a short prompt that can't be on time any more,
    /// so that it doesn't block other short prompts, whose rate may grow several times within a
    /// second.
    pub late_engines_share: f64,
    /// Ratio of the time to decode an answer to the duration of its passes without prefill.
    pub write_factor: f64,
    /// Ratio to the prediction that the prefill of a late prompt may take: it runs for long, and
    /// newer parts go first.
    pub late_margin_factor: f64,
    /// Least prefill of one part, in passes of a decoding engine, that justifies a helper.
    pub part_min_passes: f64,
    /// Share of an engine's slots that is kept free while other engines have room: a part of a
    /// prompt needs a slot too, and peers' placements of the last milliseconds aren't known yet.
    pub slots_spare_share: f64,
    /// Share of an engine's slots that short streams can take without being late: at 50 ms a pass
    /// and 33 events a stream, 9 of 16 slots mean 5.5 starts per second, whose prefill takes a
    /// quarter of the engine's time.
    pub streams_share: f64,
    /// A prompt is long if its prefill on one engine takes more than this share of its first-token
    /// target: it needs several engines and is kept to those that short streams don't need.
    pub long_aim_share: f64,
    /// Engines that a long prompt may use even if short streams need them all, when its deadline
    /// forces it.
    pub room_min: usize,
    /// Cost of the first short stream on an engine, in units: while it is decoded, long prompts
    /// can't use the engine. Proportionally less for prompts of less than one unit.
    pub open_units: f64,
    /// Share of an engine's slots from which on further short streams bring no further benefit of
    /// grouping. A value above the share that isn't kept free would fill engines before others are
    /// used.
    pub pack_share: f64,
    /// Width of the transition from on time to late for a first token, as a share of the target.
    pub blur: f64,
    /// Cost of the first stream of a long prompt on an engine, in units: passes with decoding are
    /// long, so a part that the engine prefills ends late.
    pub open_other_units: f64,
    /// Cost of each further engine that prefills, in units; it only breaks ties.
    pub engine_units: f64,
    /// Longest time for which a shared prompt is held back until its engines have finished earlier
    /// work, as a multiple of the prefill of one part. Engines prefill the newest part first, so a
    /// prompt that isn't held back delays earlier ones: acceptable for a short one, while a long
    /// one waits.
    pub hold_factor: f64,
    /// Share of a request's worth that counts as lost if its answer is expected to end after the
    /// deadline.
    pub end_share: f64,
    /// Cost of delaying earlier prompts by a second, in units.
    pub overtake_units: f64,
    /// Cost of waiting for as long as the first-token target while the target is met, in units.
    pub wait_units: f64,
    /// Share of the prefill of shared prompts without a first token that counts as unfinished: half
    /// of the parts, which end together at best, are finished when the prompt is halfway through.
    pub unknown_share: f64,
    /// The same share on engines without short streams where at least `near_gateways_min` gateways
    /// share the engines: for parts of 270 ms, the 35 ms after which peers learn of a first token. With
    /// a quarter, such parts stayed above the backlog at which the next prompt is dispatched until
    /// then, and 23% of the engines' time passed without prefill while long prompts waited. Engines
    /// that decode short streams fall further behind the prediction.
    pub unknown_share_of_many: f64,
    /// Share of the expected answer length that an answer is assumed to reach at least. Expected
    /// lengths are right at the median; at a spread of a half, nine of ten answers are longer than
    /// half of them.
    pub believed_share: f64,
    /// Delay until peers' placements are known here, in milliseconds, without the time to send to
    /// each peer: one or two in transit, and at times a part of the 15 between two messages.
    pub unseen_ms: f64,
    /// Added to `unseen_ms` for each peer, in milliseconds: a host with a tenth of a core needs
    /// about 25 ms to send to a hundred peers.
    pub unseen_ms_per_peer: f64,
    /// Least number of engines in an availability zone for its gateways to prefer it, as a multiple
    /// of the engines that the widest prompt takes: while one is prefilled, the next must find
    /// nearly as many.
    pub near_engines_factor: f64,
    /// The same number for a prompt that one engine prefills, where there are at least
    /// `near_gateways_min` gateways. With fewer engines, one wide prompt or a few endpoints that
    /// leave take most of the zone from its short streams.
    pub near_engines_min: usize,
    /// Number of gateways from which on `near_engines_min` applies. Reports of so many peers arrive
    /// later than choices follow each other; fewer gateways lose more by the smaller choice.
    pub near_gateways_min: usize,
    /// Largest share of its first-token target that a prompt may be expected to take in its own
    /// availability zone for other zones not to be considered.
    pub near_aim_share: f64,
    /// Largest backlog of a shared prompt's engines in its own availability zone for other zones
    /// not to be considered, in milliseconds: the same as the backlog at which the next prompt is
    /// dispatched.
    pub near_backlog_ms: f64,
    /// Ratio of the cost of one unseen prompt on the same engine to the cost that its prefill
    /// predicts, since several may arrive at the same time.
    pub crowd_factor: f64,
    /// Share of an engine's memory that isn't promised to requests, for answers that grow beyond
    /// their hint.
    pub memory_spare_share: f64,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            share_from_passes: 2.0,
            engines_max: 16,
            late_engines_share: 0.3,
            write_factor: 2.0,
            late_margin_factor: 1.2,
            part_min_passes: 0.55,
            slots_spare_share: 0.19,
            streams_share: 0.56,
            long_aim_share: 0.9,
            room_min: 2,
            open_units: 0.5,
            pack_share: 0.6,
            blur: 0.12,
            open_other_units: 3.0,
            engine_units: 0.002,
            hold_factor: 1.0,
            end_share: 0.5,
            overtake_units: 1.0,
            wait_units: 0.3,
            unknown_share: 0.25,
            unknown_share_of_many: 0.12,
            believed_share: 0.5,
            unseen_ms: 5.0,
            unseen_ms_per_peer: 0.25,
            near_engines_factor: 1.75,
            near_engines_min: 12,
            near_gateways_min: 36,
            near_aim_share: 0.6,
            near_backlog_ms: 60.0,
            crowd_factor: 8.0,
            memory_spare_share: 0.02,
        }
    }
}

impl PlacementOptions {
    /// Applies the settings in `text`, such as `open_units=1.5,hold_factor=0.5`.
    ///
    /// # Errors
    ///
    /// Returns a message if a setting's name is unknown or its value isn't a number.
    ///
    /// ```
    /// use mgs_placing::options::PlacementOptions;
    ///
    /// let options = PlacementOptions::default().with("open_units=2").unwrap();
    /// assert_eq!(options.open_units, 2.0);
    /// assert!(PlacementOptions::default().with("open_unit=2").is_err());
    /// ```
    pub fn with(self, text: &str) -> Result<Self, String> {
        apply_settings(self, text, Self::set)
    }

    /// Whether so many gateways share the engines that reports arrive later than choices follow each
    /// other.
    pub(crate) fn are_many(&self, gateways: usize) -> bool {
        gateways >= self.near_gateways_min
    }

    /// Share of the prefill of shared prompts without a first token that counts as unfinished on an
    /// engine with `running_short` short streams, where this number of gateways shares the engines.
    pub(crate) fn unknown_share_on(&self, running_short: u32, gateways: usize) -> f64 {
        match self.are_many(gateways) && running_short == 0 {
            true => self.unknown_share_of_many,
            false => self.unknown_share,
        }
    }

    fn set(&mut self, setting: &Setting) -> bool {
        let value = setting.value;
        match setting.name.as_str() {
            "share_from_passes" => self.share_from_passes = value,
            "engines_max" => self.engines_max = value as usize,
            "late_engines_share" => self.late_engines_share = value,
            "write_factor" => self.write_factor = value,
            "late_margin_factor" => self.late_margin_factor = value,
            "part_min_passes" => self.part_min_passes = value,
            "pack_share" => self.pack_share = value,
            "blur" => self.blur = value,
            "slots_spare_share" => self.slots_spare_share = value,
            "streams_share" => self.streams_share = value,
            "long_aim_share" => self.long_aim_share = value,
            "room_min" => self.room_min = value as usize,
            "open_units" => self.open_units = value,
            "open_other_units" => self.open_other_units = value,
            "engine_units" => self.engine_units = value,
            "hold_factor" => self.hold_factor = value,
            "end_share" => self.end_share = value,
            "overtake_units" => self.overtake_units = value,
            "wait_units" => self.wait_units = value,
            "memory_spare_share" => self.memory_spare_share = value,
            "unseen_ms" => self.unseen_ms = value,
            "unseen_ms_per_peer" => self.unseen_ms_per_peer = value,
            "near_engines_factor" => self.near_engines_factor = value,
            "near_engines_min" => self.near_engines_min = value as usize,
            "near_gateways_min" => self.near_gateways_min = value as usize,
            "near_backlog_ms" => self.near_backlog_ms = value,
            "near_aim_share" => self.near_aim_share = value,
            "crowd_factor" => self.crowd_factor = value,
            "believed_share" => self.believed_share = value,
            "unknown_share" => self.unknown_share = value,
            "unknown_share_of_many" => self.unknown_share_of_many = value,
            _ => return false,
        }
        true
    }
}
