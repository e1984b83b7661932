//! Random delays and lost answers of promotion calls and of orders to targets.

use std::ops::Range;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// Which calls get no answer, and how late calls are carried out.
#[derive(Debug)]
pub struct CallDelays {
    /// The time from an accepted promotion call to its effect, in milliseconds.
    pub promotion_ms: Range<u64>,
    /// The share of promotion calls that get no answer and arrive late.
    pub lost_promotions: f64,
    /// The share of orders to targets (pause, resume, step down) that get no answer and arrive late.
    pub lost_orders: f64,
    /// The maximum delay of a late call or order, in milliseconds. Short delays are more frequent.
    pub max_late_ms: f64,
    /// The generator that draws.
    pub rng: StdRng,
}

impl CallDelays {
    /// Draws the time from the acceptance of a promotion call to its effect.
    pub fn promotion_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(self.promotion_ms.clone()))
    }

    /// Draws the delay of a promotion call; none if it is served at once.
    pub fn late_promotion(&mut self) -> Option<Duration> {
        self.late_by(self.lost_promotions)
    }

    /// Draws the delay of an order to a target; none if it is served at once.
    pub fn late_order(&mut self) -> Option<Duration> {
        self.late_by(self.lost_orders)
    }

    fn late_by(&mut self, share: f64) -> Option<Duration> {
        let (is_late, fraction) = (self.rng.random_bool(share), self.rng.random::<f64>());
        is_late.then(|| Duration::from_secs_f64(self.max_late_ms * fraction.powi(3) / 1e3))
    }
}
