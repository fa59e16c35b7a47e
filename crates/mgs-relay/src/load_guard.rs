//! The load that one dispatch adds to the board, removed when dropped.

use std::rc::Rc;

use mgs_fleet::view::EndpointKey;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::peer_message::PrefillPart;

use crate::core::Core;
use crate::core::UnreportedRead;

/// Load that one dispatch holds on the board.
pub(crate) struct LoadGuard {
    core: Rc<Core>,
    held: Vec<(EndpointKey, EndpointLoad)>,
    /// Predicted reading at each endpoint that isn't known to be done, in milliseconds.
    read_ms: f64,
    readers: Vec<EndpointKey>,
    /// Whether several endpoints read the prompt; long prompts at peers wait for such engines.
    is_shared: bool,
}

impl LoadGuard {
    /// Adds the load to the board and announces the reading to peers.
    pub(crate) fn take(
        core: &Rc<Core>,
        held: Vec<(EndpointKey, EndpointLoad)>,
        readers: Vec<EndpointKey>,
        read_ms: f64,
    ) -> Self {
        // Reading is added first: an engine without streams to write starts to read at once.
        for endpoint in &readers {
            let reads = reads(&held, readers.len(), *endpoint);
            core.place_read(*endpoint, read_ms, reads);
        }
        for (endpoint, load) in &held {
            core.board.borrow_mut().add_own(*endpoint, load);
            core.unreported_held
                .borrow_mut()
                .push((*endpoint, load.clone()));
        }
        core.board_changed.notify_one();
        Self {
            core: core.clone(),
            held,
            read_ms,
            is_shared: readers.len() > 1,
            readers,
        }
    }

    /// Records the first token: all parts have been read. If there were several, peers are told at
    /// once, since other prompts wait for free engines. The end of a short prompt can wait for the
    /// next whole message where there are many peers.
    pub(crate) fn record_first_token(&mut self) {
        self.readers.clear();
        let mut board = self.core.board.borrow_mut();
        let is_part = |held: &EndpointLoad| held.parts > 0;
        for (endpoint, held) in self.held.iter().filter(|(_, held)| is_part(held)) {
            board.remove_own(*endpoint, held);
        }
        self.held.retain(|(_, held)| !is_part(held));
        drop(board);
        self.tell_freed();
    }

    /// Tells peers at once of released load, where that is worth a message.
    fn tell_freed(&self) {
        if self.is_shared || self.core.has_few_peers() {
            self.core.announce_freed();
        }
    }
}

/// What one of the `readers` endpoints reads of a prompt.
fn reads(
    held: &[(EndpointKey, EndpointLoad)],
    readers: usize,
    endpoint: EndpointKey,
) -> PrefillPart {
    let writes = |(key, held): &(EndpointKey, EndpointLoad)| *key == endpoint && held.running() > 0;
    match (readers, held.iter().any(writes)) {
        (1, _) => PrefillPart::Whole,
        (_, true) => PrefillPart::FirstPart,
        (_, false) => PrefillPart::Part,
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let now_ms = self.core.now_ms();
        let mut board = self.core.board.borrow_mut();
        for (endpoint, held) in &self.held {
            board.remove_own(*endpoint, held);
        }
        for endpoint in &self.readers {
            board.correct_prefill(*endpoint, now_ms, self.read_ms);
        }
        drop(board);
        let given_up = self.readers.iter().map(|endpoint| UnreportedRead {
            endpoint: *endpoint,
            read_ms: self.read_ms,
            reads: PrefillPart::GivenUp,
        });
        self.core.unreported_reads.borrow_mut().extend(given_up);
        self.tell_freed();
    }
}
