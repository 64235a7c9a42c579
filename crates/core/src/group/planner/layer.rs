//! A layer during planning: slots, shares and the resulting load of each rank.

use crate::group::map::{ExpertCopy, ExpertId, LayerMap, WHOLE_SHARE};

/// Maximum number of copies of an expert.
pub(super) const MAX_COPIES: usize = 16;

/// A copy of an expert on a rank, with the fraction of the layer's traffic that it gets.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Copy {
    /// Rank that holds the copy.
    pub rank: usize,
    /// Fraction of the layer's traffic.
    pub load: f64,
}

/// Copies of an expert in a fixed array: trial moves clone them often, so they must not allocate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Copies {
    len: usize,
    items: [Copy; MAX_COPIES],
}

impl Copies {
    /// Adds a copy. Returns false if there are [`MAX_COPIES`] already.
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

/// A layer's map with the expected popularity of its experts and the speeds of the ranks.
#[derive(Clone, Debug, PartialEq)]
pub struct Layer {
    pub(super) popularity: Vec<f64>,
    pub(super) speeds: Vec<f64>,
    pub(super) slots: usize,
    /// Copies, indexed by expert.
    pub(super) copies: Vec<Copies>,
    /// Experts, indexed by rank.
    pub(super) experts_on: Vec<Vec<usize>>,
    pub(super) loads: Vec<f64>,
}

impl Layer {
    /// Creates a layer from its map. None if the map places an expert without a popularity or with
    /// more copies than can be planned, or if the numbers of ranks differ.
    #[must_use]
    pub fn new(map: &LayerMap, popularity: Vec<f64>, speeds: &[f64], slots: usize) -> Option<Self> {
        if map.ranks.len() != speeds.len() {
            return None;
        }
        let mut layer = Self {
            copies: vec![Copies::default(); popularity.len()],
            experts_on: vec![Vec::new(); speeds.len()],
            loads: vec![0.0; speeds.len()],
            popularity,
            speeds: speeds.to_vec(),
            slots,
        };
        for (rank, copies) in map.ranks.iter().enumerate() {
            for copy in copies {
                let expert = copy.expert as usize;
                let total = *layer.popularity.get(expert)?;
                let load = total * f64::from(copy.share) / f64::from(WHOLE_SHARE);
                if !layer.copies[expert].push(Copy { rank, load }) {
                    return None;
                }
                layer.experts_on[rank].push(expert);
                layer.loads[rank] += load;
            }
        }
        Some(layer)
    }

    /// Predicted time of the slowest rank; 1 is the time of the whole layer on one rank of speed 1.
    #[must_use]
    pub fn time(&self) -> f64 {
        let pairs = self.loads.iter().zip(&self.speeds);
        pairs.map(|(l, s)| l / s).fold(0.0, f64::max)
    }

    /// Time with perfect balance, in the same unit as [`time`](Self::time).
    #[must_use]
    pub fn balanced_time(&self) -> f64 {
        let work: f64 = self.popularity.iter().sum();
        work / self.speeds.iter().sum::<f64>()
    }

    /// Sum over ranks of speed times squared time. It falls with each move towards balance, even if
    /// the time of the slowest rank stays the same.
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

    /// Adds a copy without traffic, unless the expert already has [`MAX_COPIES`].
    pub(super) fn add(&mut self, rank: usize, expert: usize) {
        if self.copies[expert].push(Copy { rank, load: 0.0 }) {
            self.experts_on[rank].push(expert);
        }
    }

    /// Removes a copy and distributes its traffic over the expert's other copies.
    pub(super) fn remove(&mut self, rank: usize, expert: usize) {
        let load = self.load_of(rank, expert);
        self.copies[expert].remove(rank);
        self.experts_on[rank].retain(|e| *e != expert);
        self.loads[rank] -= load;
        let others = self.copies[expert].len();
        for copy in self.copies[expert].iter_mut() {
            copy.load += load / others as f64;
            self.loads[copy.rank] += load / others as f64;
        }
    }

    /// The layer's map, with shares of each expert that add up to [`WHOLE_SHARE`].
    #[must_use]
    pub fn to_map(&self) -> LayerMap {
        let mut ranks = vec![Vec::new(); self.speeds.len()];
        for (expert, copies) in self.copies.iter().enumerate() {
            let sum: f64 = copies.iter().map(|c| c.load).sum();
            let mut left = WHOLE_SHARE;
            for (i, copy) in copies.iter().enumerate() {
                let fraction = if sum > 0.0 {
                    copy.load / sum
                } else {
                    1.0 / copies.len() as f64
                };
                let wanted = (fraction * f64::from(WHOLE_SHARE)).round() as u32;
                let last = i + 1 == copies.len();
                let share = if last { left } else { wanted.min(left) };
                left -= share;
                let expert = expert as ExpertId;
                ranks[copy.rank].push(ExpertCopy { expert, share });
            }
        }
        LayerMap { ranks }
    }
}
