//! Settings of a process (INI) and the fleet's configuration (an object on the platform).

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
