//! Outstanding calls to the store and the cloud API, by the component that waits for the reply.

use crate::format_versions::FormatRequest;
use crate::garbage_collector::CollectionRequest;
use crate::jobs::DependencyRequest;
use crate::leader::FencedRequest;
use crate::machine_types::MachineTypesRequest;
use crate::port::CallId;
use crate::shard::ShardWrite;
use crate::store_session::SessionRequest;
use crate::user_api::UserRequest;

/// An outstanding call: the component that waits for the reply, and what it needs to handle it.
pub(crate) enum Pending {
    Session(SessionRequest),
    User(UserRequest),
    Dependency(DependencyRequest),
    Collection(CollectionRequest),
    Format(FormatRequest),
    MachineTypes(MachineTypesRequest),
    /// Writes or a read on behalf of a shard, under the claim with this version.
    Shard {
        shard: usize,
        version: u64,
        shard_writes: Vec<ShardWrite>,
    },
    Leader(FencedRequest),
    Duty {
        call: CallId,
    },
}

impl From<SessionRequest> for Pending {
    fn from(request: SessionRequest) -> Self {
        Pending::Session(request)
    }
}

impl From<UserRequest> for Pending {
    fn from(request: UserRequest) -> Self {
        Pending::User(request)
    }
}

impl From<DependencyRequest> for Pending {
    fn from(request: DependencyRequest) -> Self {
        Pending::Dependency(request)
    }
}

impl From<CollectionRequest> for Pending {
    fn from(request: CollectionRequest) -> Self {
        Pending::Collection(request)
    }
}

impl From<FencedRequest> for Pending {
    fn from(request: FencedRequest) -> Self {
        Pending::Leader(request)
    }
}

impl From<FormatRequest> for Pending {
    fn from(request: FormatRequest) -> Self {
        Pending::Format(request)
    }
}

impl From<MachineTypesRequest> for Pending {
    fn from(request: MachineTypesRequest) -> Self {
        Pending::MachineTypes(request)
    }
}
