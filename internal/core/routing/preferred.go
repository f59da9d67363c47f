package routing

// Preferred returns the endpoints that this router prefers and needs recent
// load reports of: all runners if there are few routers, one or some of each
// pool if there are many.
func (s *Scheduler) Preferred() []string {
	var ids []string
	for _, sh := range s.allShards() {
		sh.mu.Lock()
		for _, r := range sh.runners {
			if r.preferred {
				ids = append(ids, r.endpoint.ID)
			}
		}
		sh.mu.Unlock()
	}
	return ids
}
