//! Checks of bench results against bounds.
#![allow(dead_code)]

/// Prints each value with its bound, and records whether any is past it.
pub struct BoundCheck {
    pub failed: bool,
}

impl BoundCheck {
    pub fn at_most(&mut self, name: &str, value: f64, bound: f64) {
        self.report(name, value, bound, value <= bound);
    }

    pub fn at_least(&mut self, name: &str, value: f64, bound: f64) {
        self.report(name, value, bound, bound <= value);
    }

    pub fn exit(&self) {
        if self.failed {
            std::process::exit(1);
        }
    }

    fn report(&mut self, name: &str, value: f64, bound: f64, ok: bool) {
        self.failed |= !ok;
        println!("{name} {value:.3} {bound:.3} {}", if ok { "ok" } else { "FAIL" });
    }
}
