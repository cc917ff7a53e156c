//! Asks the routers of the whole fleet.

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
use crate::peer::link;
use crate::peer::member::ListedBox;
use crate::peer::server;
use crate::peer::traffic::Traffic;
use crate::platform::BoxList;
use crate::status::Explanation;
use crate::status::Status;

/// What one box answered.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Answer<T> {
    /// Which box.
    pub name: BoxName,
    /// What it said.
    pub answer: Option<T>,
    /// Why it said nothing.
    pub error: Option<String>,
}

/// The routers, as the box list or the settings name them.
pub struct Fleet {
    boxes: Arc<dyn BoxList>,
    seeds: Vec<ListedBox>,
    secret: Secret,
    runtime: Handle,
}

impl Fleet {
    /// Nobody is asked yet. Calls go on `runtime`, from threads that may block.
    pub fn new(boxes: Arc<dyn BoxList>, cfg: &settings::Operator, runtime: Handle) -> Fleet {
        let (seeds, secret) = (cfg.seeds.clone(), cfg.secret.clone());
        Fleet { boxes, seeds, secret, runtime }
    }

    /// The state of every box.
    pub fn status(&self) -> Vec<Answer<Status>> {
        self.ask(server::STATUS, None)
    }

    /// What every box knows of a request.
    pub fn explain(&self, request: &str) -> Vec<Answer<Explanation>> {
        self.ask(server::EXPLAIN, Some(request.to_owned()))
    }

    fn ask<T>(&self, method: &'static str, argument: Option<String>) -> Vec<Answer<T>>
    where
        T: serde::de::DeserializeOwned + Send + 'static,
    {
        let boxes = self.boxes.boxes().unwrap_or_else(|_| self.seeds.clone());
        let mut answers = self.runtime.block_on(async {
            let mut asked = JoinSet::new();
            for listed in boxes {
                let (secret, argument) = (self.secret.clone(), argument.clone());
                asked.spawn(async move {
                    let result = ask_one::<T>(&listed, &secret, method, argument).await;
                    let error = result.as_ref().err().map(ToString::to_string);
                    Answer { name: listed.name, answer: result.ok(), error }
                });
            }
            asked.join_all().await
        });
        answers.sort_by(|a, b| a.name.cmp(&b.name));
        answers
    }
}

async fn ask_one<T: serde::de::DeserializeOwned>(
    listed: &ListedBox,
    secret: &Secret,
    method: &str,
    argument: Option<String>,
) -> Result<T, link::Error> {
    let client = link::connect(listed.peer, secret, &Arc::new(Traffic::default())).await?;
    let answer = match argument {
        Some(argument) => client.request(method, rpc_params![argument]).await,
        None => client.request(method, rpc_params![]).await,
    };
    Ok(answer?)
}
