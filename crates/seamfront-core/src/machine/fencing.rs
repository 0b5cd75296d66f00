//! Fencing of a machine: the token its agent has seen, and the direct command that may still be carried out.

use crate::port::CallId;

/// Orders sent straight to an agent. While the command is outstanding it may still be carried out.
#[derive(Clone, Debug)]
pub struct DirectCommand {
    /// The call that carries it.
    pub call: CallId,
    /// The fencing token that it carries.
    pub fencing_token: u64,
    /// The incarnation of the agent that it is addressed to.
    pub incarnation: u64,
    /// The call ended without an answer. Settled only by a higher token seen, a new incarnation, or the end of
    /// the machine.
    pub unknown: bool,
}

/// What is known of the fencing of a machine's agent.
#[derive(Clone, Debug, Default)]
pub struct Fencing {
    /// The highest fencing token that the agent has shown.
    pub highest_seen_token: u64,
    /// There are signs that our replies do not arrive: the token is raised, to see whether the new one does.
    pub token_raise_due: bool,
    /// The direct command that is not settled yet.
    pub direct_command: Option<DirectCommand>,
}
