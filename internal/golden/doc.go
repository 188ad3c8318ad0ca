// Package golden pins what must not change between versions: stored records, messages, frames, files and the output of
// commands. It has tests only; they compare with the files under testdata, byte for byte. Run them with -update to
// write the files anew, twice where one test reads what another writes. That is right only where a format changes on
// purpose.
package golden
