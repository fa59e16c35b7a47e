//! Figures of the choice of engines. None of them is a size, a speed or a limit of some deployment: those are
//! declared with the engines or sent with each request.

use crate::setting_text::apply_settings;
use crate::setting_text::Setting;

/// Settings of [`crate::choose::choose`].
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementOptions {
    /// A prompt whose reading takes less than this on one engine isn't shared, in passes of an engine that
    /// writes; below that the hop costs more than it saves.
    pub share_from_passes: f64,
    /// Most engines that read one prompt; the engines take 16 helpers beside the first.
    pub engines_max: usize,
    /// Share of all engines that may read a prompt that isn't long and can't be on time any more: it isn't to
    /// stand in the way of short prompts, whose number may be several times as large a second later.
    pub late_engines_share: f64,
    /// Factor by which an answer takes longer to be written than its passes would without any reading.
    pub write_factor: f64,
    /// Factor by which the reading of a late prompt may take longer than predicted: it is long under way, and
    /// newer parts go first.
    pub late_margin_factor: f64,
    /// Least part of a prompt that is worth a helper: its reading, in passes of an engine that writes.
    pub part_min_passes: f64,
    /// Places of an engine, as a share, that are left free while others have room: a part of a prompt needs
    /// one too, and what peers have placed in the last milliseconds isn't known yet.
    pub slots_spare_share: f64,
    /// Places of an engine, as a share, that short streams take with time to spare: at 50 ms a pass and 33
    /// events a stream, 9 of 16 are 5.5 starts a second, and their reading takes a quarter of its time.
    pub streams_share: f64,
    /// A prompt is long if reading it on one engine takes more than this share of its aim: it needs several,
    /// and keeps to those that short streams leave.
    pub long_aim_share: f64,
    /// Engines that a long prompt may use even if there is no room, when its deadline forces it.
    pub room_min: usize,
    /// Cost of a short stream's start on an engine without short streams, in units: it takes the engine
    /// from long prompts while it writes. Less for prompts of less than a unit.
    pub open_units: f64,
    /// Places of an engine, as a share, from which on one more short stream counts as good company as with
    /// any other number. Above the share that is kept free, engines would be filled before others are used.
    pub pack_share: f64,
    /// Width of the step from on time to late for a first token, as a share of the aim.
    pub blur: f64,
    /// The same for another stream on an engine without streams, in units: a pass that writes is long, so
    /// reading that engine's part of a prompt ends late.
    pub open_other_units: f64,
    /// Cost of each further engine that reads, in units; it breaks ties only.
    pub engine_units: f64,
    /// Longest time for which a shared prompt is held back until its engines are done with earlier ones,
    /// as a multiple of its own part's reading. Engines read the newest part first, so one that isn't
    /// held delays the earlier ones: a short one may, a long one waits.
    pub hold_factor: f64,
    /// Share of a request's worth that counts as lost if its answer is expected to end after its deadline.
    pub end_share: f64,
    /// Cost of delaying earlier prompts by a second, in units.
    pub overtake_units: f64,
    /// Cost of being a full time aim late for the first token when all is within aims, in units.
    pub wait_units: f64,
    /// Share of the reading of shared prompts without a first token that counts as still to be done: half
    /// of their parts, which end together at best, are done when they are half through.
    pub unknown_share: f64,
    /// Share of the length that a client expects which its answer is taken to have at least. Expectations are right
    /// at the median; at a spread of a half, nine of ten answers are longer than half of them.
    pub believed_share: f64,
    /// Time that others' placements take to be known here, in milliseconds, without what telling takes: one or two on
    /// the way, and now and then a part of the 15 between two messages.
    pub unseen_ms: f64,
    /// The same for each peer that is told: a host with a tenth of a core tells a hundred in some 25 ms.
    pub unseen_ms_per_peer: f64,
    /// Engines that an availability zone must have for its gateways to choose there first, as a multiple of those that
    /// the widest prompt takes: while one is read, the next must find nearly as many.
    pub near_engines_factor: f64,
    /// Share of its aim within which a prompt's first token must be expected from its own availability zone for other
    /// zones not to be looked at.
    pub near_aim_share: f64,
    /// Backlog of the engines that would read a prompt in its own availability zone up to which other zones aren't
    /// looked at, in milliseconds: as much as a prompt whose turn has come may find.
    pub near_backlog_ms: f64,
    /// How much more one prompt placed unseen on the same engine costs than its reading predicts, as a factor: several
    /// may come at once.
    pub crowd_factor: f64,
    /// Memory of an engine, as a share, that is kept free of promises: answers that grow beyond their hint.
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
            believed_share: 0.5,
            unseen_ms: 5.0,
            unseen_ms_per_peer: 0.25,
            near_engines_factor: 1.75,
            near_aim_share: 0.6,
            near_backlog_ms: 60.0,
            crowd_factor: 8.0,
            memory_spare_share: 0.02,
        }
    }
}

impl PlacementOptions {
    /// Sets the figures of `text`, as in `open_units=1.5,hold_factor=0.5`.
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
            "near_backlog_ms" => self.near_backlog_ms = value,
            "near_aim_share" => self.near_aim_share = value,
            "crowd_factor" => self.crowd_factor = value,
            "believed_share" => self.believed_share = value,
            "unknown_share" => self.unknown_share = value,
            _ => return false,
        }
        true
    }
}
