#!/bin/sh
# Prints a course reader and a bulk of chapters from the command line, and waits for both.
# Run: course_reader.sh CONTACT, a contact with a session, as in 127.0.0.1:7100/school-7
set -eu
export LINEDEAL_CONTACT="$1"

linedeal run course-reader --service readers -- /usr/bin/print week-7.pdf
chapters=$(linedeal submit course-reader --service readers --bulk 1-5:2 -- /usr/bin/print 'chapter-$drmaa_incr_ph$.pdf')
held=$(linedeal submit course-reader --service readers --hold -- /usr/bin/print errata.pdf)
linedeal release "$held"
linedeal wait --timeout 60 $chapters "$held"
linedeal history
