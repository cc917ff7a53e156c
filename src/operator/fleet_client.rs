//! Queries the routers of the whole fleet.

use std::sync::Arc;

use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use serde::Deserialize;
use serde::Serialize;
use tokio::runtime::Handle;
use tokio::task::JoinSet;

use crate::config::settings;
use crate::config::settings::Secret;
use crate::names::BoxName;
use crate::peer::connection;
use crate::peer::member::ListedBox;
use crate::peer::server;
use crate::peer::traffic::Traffic;
use crate::platform::BoxList;
use crate::status::Explanation;
use crate::status::Status;

/// The response of one box.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BoxResponse<T> {
    /// The name of the box.
    pub name: BoxName,
    /// The result, if the call succeeded.
    #[serde(rename = "answer")]
    pub response: Option<T>,
    /// The error, if the call failed.
    pub error: Option<String>,
}

/// A client of all routers in the platform's box list, or in the settings if that can't be read.
pub struct FleetClient {
    boxes: Arc<dyn BoxList>,
    seeds: Vec<ListedBox>,
    secret: Secret,
    runtime: Handle,
}

impl FleetClient {
    /// Calls run on `runtime` and must be made from threads that may block.
    pub fn new(boxes: Arc<dyn BoxList>, cfg: &settings::Operator, runtime: Handle) -> FleetClient {
        let (seeds, secret) = (cfg.seeds.clone(), cfg.secret.clone());
        FleetClient { boxes, seeds, secret, runtime }
    }

    /// Returns the state of every box.
    pub fn status(&self) -> Vec<BoxResponse<Status>> {
        self.query_all(server::STATUS, None)
    }

    /// Returns what every box has recorded about a request.
    pub fn explain(&self, request: &str) -> Vec<BoxResponse<Explanation>> {
        self.query_all(server::EXPLAIN, Some(request.to_owned()))
    }

    fn query_all<T>(&self, method: &'static str, argument: Option<String>) -> Vec<BoxResponse<T>>
    where
        T: serde::de::DeserializeOwned + Send + 'static,
    {
        let boxes = self.boxes.boxes().unwrap_or_else(|_| self.seeds.clone());
        let mut responses = self.runtime.block_on(async {
            let mut calls = JoinSet::new();
            for listed in boxes {
                let (secret, argument) = (self.secret.clone(), argument.clone());
                calls.spawn(async move {
                    let result = query_box::<T>(&listed, &secret, method, argument).await;
                    let error = result.as_ref().err().map(ToString::to_string);
                    BoxResponse { name: listed.name, response: result.ok(), error }
                });
            }
            calls.join_all().await
        });
        responses.sort_by(|a, b| a.name.cmp(&b.name));
        responses
    }
}

async fn query_box<T: serde::de::DeserializeOwned>(
    listed: &ListedBox,
    secret: &Secret,
    method: &str,
    argument: Option<String>,
) -> Result<T, connection::Error> {
    let client = connection::connect(listed.peer, secret, &Arc::new(Traffic::default())).await?;
    let response = match argument {
        Some(argument) => client.request(method, rpc_params![argument]).await,
        None => client.request(method, rpc_params![]).await,
    };
    Ok(response?)
}
