//! Bounds of the benches.
#![allow(dead_code)]

/// Prints a figure beside its bound; counts it as failed when it is past it.
pub struct Judge {
    pub failed: bool,
}

impl Judge {
    pub fn at_most(&mut self, name: &str, value: f64, bound: f64) {
        self.line(name, value, bound, value <= bound);
    }

    pub fn at_least(&mut self, name: &str, value: f64, bound: f64) {
        self.line(name, value, bound, bound <= value);
    }

    pub fn exit(&self) {
        if self.failed {
            std::process::exit(1);
        }
    }

    fn line(&mut self, name: &str, value: f64, bound: f64, ok: bool) {
        self.failed |= !ok;
        println!("{name} {value:.3} {bound:.3} {}", if ok { "ok" } else { "FAIL" });
    }
}
