package placement

// smallWorkspaceShare is the fraction of its fair share of the pending prompts up to which a
// workspace counts as small. The value comes from replays in which one workspace floods the prefill
// engines with 1.7 and 5 times their capacity (means of ten runs). The share of answered requests
// of the worst served of 20 small workspaces was at least 0.63 of the overall share, against 0.26
// with a value of 0.25 and 0 without the mechanism. The mechanism costs 0.04 of all responses in
// such floods.
const smallWorkspaceShare = 0.5

// workspacePending tracks the prompts to one service that this process has placed and that are not
// prefilled yet, by workspace. Requests without a workspace are not tracked.
type workspacePending struct {
	byWorkspace map[string]pendingPrompts
	// busyMs is how long all tracked prompts together keep engines busy, in ms.
	busyMs float64
}

// pendingPrompts is the number and the prefill time of one workspace's pending prompts.
type pendingPrompts struct {
	prompts int
	busyMs  float64
}

// add adds a prompt that keeps an engine busy for a time in ms.
func (s *workspacePending) add(workspace string, busy float64) { s.change(workspace, 1, busy) }

// remove removes a prompt that was added with the same arguments.
func (s *workspacePending) remove(workspace string, busy float64) { s.change(workspace, -1, -busy) }

func (s *workspacePending) change(workspace string, prompts int, busy float64) {
	if workspace == "" {
		return
	}
	u := s.byWorkspace[workspace]
	u.prompts += prompts
	u.busyMs += busy
	s.busyMs += busy
	if u.prompts > 0 {
		s.byWorkspace[workspace] = u
		return
	}
	delete(s.byWorkspace, workspace)
	if len(s.byWorkspace) == 0 {
		s.busyMs = 0 // drop accumulated rounding errors
	}
}

// isSmall reports whether a workspace stays within smallWorkspaceShare of its fair share with one
// more prompt that keeps an engine busy for a time in ms. The fair share is the pending work divided
// by one more than the number of workspaces with pending prompts, which may include this workspace.
func (s *workspacePending) isSmall(workspace string, busy float64) bool {
	fair := s.busyMs / float64(len(s.byWorkspace)+1)
	return workspace != "" && s.byWorkspace[workspace].busyMs+busy <= smallWorkspaceShare*fair
}
