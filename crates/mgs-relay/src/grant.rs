//! What one dispatch holds on the board, given back when it ends in any way.

use std::rc::Rc;

use mgs_fleet::view::EndpointKey;
use mgs_placing::load_table::EndpointLoad;
use mgs_placing::peer_message::PrefillPart;

use crate::core::Core;
use crate::core::FreshRead;

/// What one dispatch holds.
pub(crate) struct Grant {
    core: Rc<Core>,
    held: Vec<(EndpointKey, EndpointLoad)>,
    /// Reading that isn't known to be done, in milliseconds at each endpoint.
    read_ms: f64,
    readers: Vec<EndpointKey>,
    /// Whether several endpoints read: long prompts wait for them.
    is_shared: bool,
}

impl Grant {
    /// Holds the places and announces the reading.
    pub(crate) fn take(
        core: &Rc<Core>,
        held: Vec<(EndpointKey, EndpointLoad)>,
        readers: Vec<EndpointKey>,
        read_ms: f64,
    ) -> Self {
        // Reading first: an engine that writes nothing yet begins to read at once.
        for endpoint in &readers {
            let reads = reads(&held, readers.len(), *endpoint);
            core.place_read(*endpoint, read_ms, reads);
        }
        for (endpoint, what) in &held {
            core.board.borrow_mut().add_own(*endpoint, what);
            core.fresh_held.borrow_mut().push((*endpoint, what.clone()));
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

    /// The first token came: all parts have been read. Peers are told at once if there were several, since others wait for
    /// engines that are free; ends of short prompts can wait for the next whole message where there are many peers.
    pub(crate) fn first_token(&mut self) {
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

    /// Tells peers at once of what is free again, where that is worth a message.
    fn tell_freed(&self) {
        if self.is_shared || self.core.has_few_peers() {
            self.core.tell_freed();
        }
    }
}

/// What one of `readers` endpoints reads of a prompt.
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

impl Drop for Grant {
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
        let given_up = self.readers.iter().map(|endpoint| FreshRead {
            endpoint: *endpoint,
            read_ms: self.read_ms,
            reads: PrefillPart::GivenUp,
        });
        self.core.fresh_reads.borrow_mut().extend(given_up);
        self.tell_freed();
    }
}
