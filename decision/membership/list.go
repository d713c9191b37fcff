package membership

import "github.com/bamboodeal/bamboodeal/api/platform"

// MembersByUpstream returns the VM that serves each upstream according to the list, by the name of the upstream. If the
// list contains two VMs for one upstream, a live VM is preferred to a leaving one, and a later entry to an earlier one.
func MembersByUpstream(list *platform.MemberList) map[string]platform.Member {
	byUpstream := map[string]platform.Member{}
	if list == nil {
		return byUpstream
	}
	for _, m := range list.Members {
		if m.Upstream == "" {
			continue
		}
		old, found := byUpstream[m.Upstream]
		if found && old.State == platform.MemberLive && m.State != platform.MemberLive {
			continue
		}
		byUpstream[m.Upstream] = m
	}
	return byUpstream
}

// IsLeaving reports whether the list contains the VM in the state leaving.
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
