//! Fencing of a machine: the highest token that its agent has seen, and the direct command that is not settled yet.

use crate::port::CallId;

/// A direct command to an agent. Until it is settled, the agent may still carry it out.
#[derive(Clone, Debug)]
pub struct DirectCommand {
    /// The call that carries it.
    pub call: CallId,
    /// The fencing token that it carries.
    pub fencing_token: u64,
    /// The incarnation of the agent that it is addressed to.
    pub incarnation: u64,
    /// The call ended without an answer, so it is not known whether the command was carried out. It is settled only
    /// when the agent has seen a higher token or has a new incarnation, or when its lease or the machine has ended.
    pub unknown: bool,
}

/// What is known of the fencing of a machine's agent.
#[derive(Clone, Debug, Default)]
pub struct Fencing {
    /// The highest fencing token that the agent has shown.
    pub highest_seen_token: u64,
    /// The token is to be raised: our replies may not arrive, and the agent shows the new token if they do; or a write
    /// that may be applied late has to be fenced off.
    pub token_raise_due: bool,
    /// The direct command that is not settled yet, if any.
    pub direct_command: Option<DirectCommand>,
    /// The highest token that a direct command of this holder carried; 0 before the first one. A copy of the command
    /// may arrive at any time, and is carried out until the agent has seen a higher token.
    pub last_command_token: u64,
    /// The token that this holder has raised its own to since it took the machine over; 0 before the first time.
    pub raised_token: u64,
}
