//! The settings of a process (an INI file) and the configuration of the fleet (an object on the
//! platform).

pub mod catalog;
pub mod settings;

pub use catalog::Applied;
pub use catalog::Catalog;
pub use catalog::CatalogRevision;
pub use catalog::EngineState;
pub use catalog::Fault;
pub use catalog::Pool;
pub use catalog::Service;
pub use catalog::Unit;
pub use catalog::Upstream;
pub use catalog::Weights;
pub use catalog::Workspace;
