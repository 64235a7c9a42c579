//! A layer while it is planned: slots, shares and the load they give.

use crate::group::map::{ExpertId, LayerMap, Placed, WHOLE_SHARE};

/// Most copies of an expert that are planned.
pub(super) const MAX_COPIES: usize = 16;

/// A copy of an expert on a rank, with the part of the layer's traffic that it gets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Copy {
    /// Rank.
    pub rank: usize,
    /// Part of the layer's traffic.
    pub load: f64,
}

/// Copies of an expert, without an allocation: trials of moves copy them often.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Copies {
    len: usize,
    items: [Copy; MAX_COPIES],
}

impl Copies {
    /// Adds a copy. False if there are as many as can be planned.
    pub fn push(&mut self, copy: Copy) -> bool {
        let Some(slot) = self.items.get_mut(self.len) else {
            return false;
        };
        *slot = copy;
        self.len += 1;
        true
    }

    fn remove(&mut self, rank: usize) {
        if let Some(i) = self.iter().position(|c| c.rank == rank) {
            self.items[i] = self.items[self.len - 1];
            self.len -= 1;
        }
    }
}

impl std::ops::Deref for Copies {
    type Target = [Copy];

    fn deref(&self) -> &[Copy] {
        &self.items[..self.len]
    }
}

impl std::ops::DerefMut for Copies {
    fn deref_mut(&mut self) -> &mut [Copy] {
        &mut self.items[..self.len]
    }
}

/// A layer's map with the expected popularity of its experts and the ranks' speeds.
#[derive(Clone, Debug, PartialEq)]
pub struct Layer {
    pub(super) popularity: Vec<f64>,
    pub(super) speeds: Vec<f64>,
    pub(super) slots: usize,
    /// Copies by expert.
    pub(super) copies: Vec<Copies>,
    /// Experts by rank.
    pub(super) held: Vec<Vec<usize>>,
    pub(super) loads: Vec<f64>,
}

impl Layer {
    /// A layer as its map has it. None if the map places an expert that has no
    /// popularity or too many copies, or the numbers of ranks differ.
    #[must_use]
    pub fn new(map: &LayerMap, popularity: Vec<f64>, speeds: &[f64], slots: usize) -> Option<Self> {
        if map.ranks.len() != speeds.len() {
            return None;
        }
        let mut layer = Self {
            copies: vec![Copies::default(); popularity.len()],
            held: vec![Vec::new(); speeds.len()],
            loads: vec![0.0; speeds.len()],
            popularity,
            speeds: speeds.to_vec(),
            slots,
        };
        for (rank, placed) in map.ranks.iter().enumerate() {
            for p in placed {
                let expert = p.expert as usize;
                let whole = *layer.popularity.get(expert)?;
                let load = whole * f64::from(p.share) / f64::from(WHOLE_SHARE);
                if !layer.copies[expert].push(Copy { rank, load }) {
                    return None;
                }
                layer.held[rank].push(expert);
                layer.loads[rank] += load;
            }
        }
        Some(layer)
    }

    /// Predicted time of the slowest rank, in units of the layer's work at speed 1.
    #[must_use]
    pub fn time(&self) -> f64 {
        let pairs = self.loads.iter().zip(&self.speeds);
        pairs.map(|(l, s)| l / s).fold(0.0, f64::max)
    }

    /// Time that a perfect balance would need, in the same units.
    #[must_use]
    pub fn balanced_time(&self) -> f64 {
        let work: f64 = self.popularity.iter().sum();
        work / self.speeds.iter().sum::<f64>()
    }

    /// Sum over ranks of speed times squared time: falls with each step towards balance,
    /// also while the slowest ranks stay as they are.
    pub(super) fn imbalance(&self) -> f64 {
        let pairs = self.loads.iter().zip(&self.speeds);
        pairs.map(|(l, s)| l * l / s).sum()
    }

    pub(super) fn holds(&self, rank: usize, expert: usize) -> bool {
        self.copies[expert].iter().any(|c| c.rank == rank)
    }

    pub(super) fn load_of(&self, rank: usize, expert: usize) -> f64 {
        let copy = self.copies[expert].iter().find(|c| c.rank == rank);
        copy.map_or(0.0, |c| c.load)
    }

    /// Adds a copy without traffic, unless the expert has as many as can be planned.
    pub(super) fn add(&mut self, rank: usize, expert: usize) {
        if self.copies[expert].push(Copy { rank, load: 0.0 }) {
            self.held[rank].push(expert);
        }
    }

    /// Takes a copy away; its traffic goes to the expert's other copies.
    pub(super) fn remove(&mut self, rank: usize, expert: usize) {
        let load = self.load_of(rank, expert);
        self.copies[expert].remove(rank);
        self.held[rank].retain(|e| *e != expert);
        self.loads[rank] -= load;
        let others = self.copies[expert].len();
        for copy in self.copies[expert].iter_mut() {
            copy.load += load / others as f64;
            self.loads[copy.rank] += load / others as f64;
        }
    }

    /// The map, with shares that add up exactly.
    #[must_use]
    pub fn to_map(&self) -> LayerMap {
        let mut ranks = vec![Vec::new(); self.speeds.len()];
        for (expert, copies) in self.copies.iter().enumerate() {
            let sum: f64 = copies.iter().map(|c| c.load).sum();
            let mut left = WHOLE_SHARE;
            for (i, copy) in copies.iter().enumerate() {
                let part = if sum > 0.0 {
                    copy.load / sum
                } else {
                    1.0 / copies.len() as f64
                };
                let wanted = (part * f64::from(WHOLE_SHARE)).round() as u32;
                let last = i + 1 == copies.len();
                let share = if last { left } else { wanted.min(left) };
                left -= share;
                let expert = expert as ExpertId;
                ranks[copy.rank].push(Placed { expert, share });
            }
        }
        LayerMap { ranks }
    }
}
