//! A generational arena: the key of a removed value never finds a later value in the same slot.

/// Key of a value in an [`Arena`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    slot: u32,
    generation: u32,
}

#[derive(Debug)]
struct Slot<T> {
    generation: u32,
    value: Option<T>,
}

/// Values in reusable slots. A removal increments the generation of the slot, so a stale key finds
/// nothing.
///
/// ```
/// use mgs_admission::arena::Arena;
///
/// let mut arena = Arena::default();
/// let old = arena.insert("a");
/// arena.remove(old);
/// let new = arena.insert("b");
/// assert_eq!(arena.get(old), None);
/// assert_eq!(arena.get(new), Some(&"b"));
/// ```
#[derive(Debug)]
pub struct Arena<T> {
    slots: Vec<Slot<T>>,
    free: Vec<u32>,
}

impl<T> Default for Arena<T> {
    fn default() -> Self {
        Self {
            slots: Vec::new(),
            free: Vec::new(),
        }
    }
}

impl<T> Arena<T> {
    /// Stores a value and returns its key.
    pub fn insert(&mut self, value: T) -> Key {
        if let Some(index) = self.free.pop() {
            let slot = &mut self.slots[index as usize];
            slot.value = Some(value);
            return Key {
                slot: index,
                generation: slot.generation,
            };
        }
        self.slots.push(Slot {
            generation: 0,
            value: Some(value),
        });
        Key {
            slot: self.slots.len() as u32 - 1,
            generation: 0,
        }
    }

    /// The value of a key; `None` if it was removed.
    pub fn get(&self, key: Key) -> Option<&T> {
        let slot = self.slots.get(key.slot as usize)?;
        (slot.generation == key.generation).then_some(slot.value.as_ref())?
    }

    /// Mutable access to the value of a key; `None` if it was removed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        let slot = self.slots.get_mut(key.slot as usize)?;
        (slot.generation == key.generation).then_some(slot.value.as_mut())?
    }

    /// Removes a value and returns it; `None` if it was already removed.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        let slot = self.slots.get_mut(key.slot as usize)?;
        if slot.generation != key.generation {
            return None;
        }
        let value = slot.value.take()?;
        slot.generation = slot.generation.wrapping_add(1);
        self.free.push(key.slot);
        Some(value)
    }

    /// Number of values.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether the arena holds no values.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
