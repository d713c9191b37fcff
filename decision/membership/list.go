package membership

import "github.com/bamboodeal/bamboodeal/api/platform"

// MembersByUpstream returns the VM that serves each upstream according to the list. When the list names two VMs for one
// upstream, a live one precedes a leaving one, and a later entry precedes an earlier one.
func MembersByUpstream(list *platform.MemberList) map[string]platform.Member {
	located := map[string]platform.Member{}
	if list == nil {
		return located
	}
	for _, m := range list.Members {
		if m.Upstream == "" {
			continue
		}
		old, found := located[m.Upstream]
		if found && old.State == platform.MemberLive && m.State != platform.MemberLive {
			continue
		}
		located[m.Upstream] = m
	}
	return located
}

// IsLeaving reports whether the list shows the VM as leaving.
func IsLeaving(list *platform.MemberList, vm string) bool {
	if list == nil {
		return false
	}
	for i := range list.Members {
		if list.Members[i].VM == vm {
			return list.Members[i].State == platform.MemberLeaving
		}
	}
	return false
}
