"""Prints a course reader and a bulk of chapters, and waits for both. Run: python course_reader.py CONTACT"""

import sys

from linedeal.drmaa import JobTemplate, SessionManager


def main(contact: str) -> int:
    """Submits the jobs to the contact's cluster; returns 0 if all had exit status 0."""
    with SessionManager().create_job_session("", contact) as session:
        print("contact", session.contact)  # opens the session again, also after this program has exited
        reader = session.run_job(
            JobTemplate(
                remote_command="/usr/bin/print",
                args=("week-7.pdf",),
                job_category="course-reader",
                job_name="week 7",
                native="service=readers cores=1 memory=1",
            )
        )
        info = reader.wait_terminated(timeout=60)
        print("reader", info.job_state.value, "status", info.exit_status, "on", *info.allocated_machines)
        reader.reap()

        chapters = session.run_bulk_jobs(
            JobTemplate(
                remote_command="/usr/bin/print",
                args=("chapter-$drmaa_incr_ph$.pdf",),
                job_category="course-reader",
                native="service=readers cores=1 memory=1",
            ),
            1,
            5,
            2,
        )
        infos = chapters.wait_terminated(timeout=60)
        print(
            "chapters",
            *(info.job_id.rpartition(".")[2] for info in infos),
            *{i.job_state.value for i in infos},
        )
        for job in chapters.jobs:
            job.reap()
        return 0 if info.exit_status == 0 and all(i.exit_status == 0 for i in infos) else 1


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
