namespace samphirehill {

const char *version() { return SAMPHIREHILL_VERSION; }

} // namespace samphirehill
